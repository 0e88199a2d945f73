import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationKey } from "@bramleymoor/model/route";
import { serverEntry } from "@bramleymoor/testkit/builders";
import { ServerAvailability } from "../src/availability.js";
import { limitMessageSchema } from "../src/messages.js";

const server = serverEntry("s1");
const key = incarnationKey(server);
test("a leaving incarnation stays leaving whatever is heard later, and a new one isn't leaving", () => {
    const availability = new ServerAvailability("vm");
    availability.record(server, { leaving: true }, 0);
    availability.record(server, { leaving: false }, 100);
    availability.receive({ from: "p", limits: [], servers: [{ key, leaving: false }] });
    for (let now = 0; now < 3_600_000; now += 60_000) {
        availability.tick(now);
    }
    assert.ok(availability.isLeaving(key));
    assert.ok(!availability.isLeaving(incarnationKey({ ...server, bornAt: 2 })));
});

test("the leaving servers of a whole failure domain all reach the peers", () => {
    const availability = new ServerAvailability("vm");
    const servers = Array.from({ length: 250 }, (_, i) => serverEntry(`s${i}`));
    servers.forEach(it => availability.record(it, { leaving: true }, 0));
    const messages = availability.tick(0);
    messages.forEach(it => assert.ok(limitMessageSchema.safeParse(it).success));
    const keys = messages.flatMap(it => it.servers ?? []).map(it => it.key);
    assert.deepEqual(new Set(keys), new Set(servers.map(incarnationKey)));
});
