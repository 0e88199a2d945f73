import assert from "node:assert/strict";
import { test } from "node:test";
import { serverEntry as entry } from "@bramleymoor/testkit/builders";
import { Balancer } from "../src/balancer.js";
import type { Request } from "../src/types.js";

const request: Request = {
    id: 1,
    kind: "non-idempotent",
    priority: 1,
    arrivedAt: 0,
    targetAt: 300,
    deadlineAt: 2_000,
    callerDeadlineAt: 2_000,
    tried: [],
};

test("a request for which a server is reserved goes to another one if that server is found to be leaving", () => {
    const balancer = new Balancer({ candidateCount: 1, domain: "a" }, () => 0);
    const update = (leaving: boolean): void =>
        balancer.updateServers(
            [entry("s1", { leaving }), entry("s2")].map(it => ({ entry: it, lapsed: false })),
            0,
        );
    update(false);
    assert.equal(balancer.submit(request, 0), undefined);
    const reservation = balancer.reserveNext(0);
    assert.deepEqual(
        reservation?.candidates.map(it => it.entry.id),
        ["s1"],
    );
    update(true);
    assert.equal(reservation && balancer.grant(reservation, 0), undefined);
    const next = balancer.reserveNext(0);
    assert.equal(next && balancer.grant(next, 0)?.server.id, "s2");
});
