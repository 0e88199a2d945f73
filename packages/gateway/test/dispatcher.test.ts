import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Balancer } from "@bramleymoor/balance/balancer";
import type { Request } from "@bramleymoor/balance/types";
import type { ServerEntry, ServiceSettings } from "@bramleymoor/model/route";
import { serverEntry as entry } from "@bramleymoor/testkit/entries";
import type { LoadResponse } from "../src/loadclient.js";
import { Dispatcher, type AcquireResult } from "../src/dispatcher.js";

const request = (id: number): Request => ({
    id,
    kind: "idempotent",
    priority: 1,
    arrivedAt: 0,
    targetAt: 300,
    deadlineAt: 2_000,
    tried: [],
});

const answer = (running: number, slowdown: number): LoadResponse => ({
    report: { running, waiting: 0, slots: 2, slowdown },
    misdirected: false,
});

/** A dispatcher whose servers answer for their load when the test says so. */
class Rig {
    now = 0;
    readonly answers = new Map<string, (answer: LoadResponse | undefined) => void>();
    readonly dispatcher: Dispatcher;

    constructor(...ids: readonly string[]) {
        const settings: ServiceSettings = { name: "svc", healthPath: "/healthz", maxConnections: 100 };
        const balancer = new Balancer({ candidateCount: 5, domain: "a" }, () => 0);
        const asker = {
            query: ({ id }: ServerEntry): Promise<LoadResponse | undefined> =>
                new Promise(resolve => this.answers.set(id, resolve)),
        };
        this.dispatcher = new Dispatcher(settings, { balancer, loadClient: asker, clock: () => this.now });
        this.dispatcher.update(
            settings,
            ids.map(id => ({ entry: entry(id), lapsed: false })),
        );
    }

    place(id: number): { server: string | undefined } {
        const placed: { server: string | undefined } = { server: undefined };
        void this.dispatcher.acquireSlot(request(id)).then((it: AcquireResult) => {
            placed.server = it.kind === "slot" ? it.slot.server.id : it.kind;
        });
        return placed;
    }

    async answer(id: string, with_: LoadResponse | undefined): Promise<void> {
        this.answers.get(id)?.(with_);
        await delay(0);
    }
}

test("the first server that is calm and idle gets the request, without a wait for the others", async () => {
    const rig = new Rig("s1", "s2", "s3");
    const placed = rig.place(1);
    await rig.answer("s1", answer(0, 5));
    assert.equal(placed.server, undefined);
    await rig.answer("s3", answer(0, 1));
    assert.equal(placed.server, "s3");
});

test("servers that are slow to answer get nothing before they do", async () => {
    const rig = new Rig("s1", "s2");
    const placed = rig.place(1);
    await delay(30);
    assert.equal(placed.server, undefined);
    await rig.answer("s2", answer(0, 1));
    assert.equal(placed.server, "s2");
});

test("a request whose servers are all in a slow spell is placed when one has become calm", async () => {
    const rig = new Rig("s1", "s2");
    const placed = rig.place(1);
    await rig.answer("s1", answer(0, 5));
    await rig.answer("s2", answer(0, 5));
    assert.equal(placed.server, undefined);
    rig.now = 60;
    rig.dispatcher.tick();
    await rig.answer("s1", answer(0, 1));
    assert.equal(placed.server, "s1");
});
