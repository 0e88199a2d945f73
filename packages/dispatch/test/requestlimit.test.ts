import assert from "node:assert/strict";
import { test } from "node:test";
import { CallError } from "@bramleymoor/protocol/errors";
import { ServiceDispatcher } from "../src/dispatcher.js";
import { SeededRandom } from "../src/random.js";
import type { Slot } from "../src/types.js";
import { makeCall, makeService } from "./fixtures.js";

const windowMs = 4_000;
const responseMs = 60;
const stepMs = 5;
const submitMs = 20;
const ok = { kind: "answered", status: 200 } as const;

/** All dispatchers of one service, each with a queue of calls, in virtual time. */
class DispatcherFleet {
    now = 0;
    /** Limit that the first server names; undefined for none. */
    limit: number | undefined = undefined;
    /** When the first server got requests. */
    readonly arrivals: number[] = [];
    readonly errors: string[] = [];
    readonly #dispatchers: readonly ServiceDispatcher[];
    readonly #limited: string;
    #running: { readonly slot: Slot; readonly owner: ServiceDispatcher; readonly endsAt: number }[] = [];

    constructor(count: number, servers: number) {
        const service = makeService(servers, 8);
        this.#limited = service.servers[0]?.address ?? "";
        this.#dispatchers = Array.from(
            { length: count },
            (_, index) => new ServiceDispatcher(service, { index, count }, new SeededRandom(index + 1), 0),
        );
    }

    run(ms: number): void {
        for (const end = this.now + ms; this.now < end; this.now += stepMs) {
            this.#settleEnded();
            for (const dispatcher of this.#dispatchers) {
                if (this.now % submitMs === 0) {
                    this.#submit(dispatcher);
                }
                dispatcher.tick(this.now);
            }
        }
    }

    /** Records a probe's load report at all dispatchers. */
    probeAll(): void {
        for (const it of this.#dispatchers) {
            it.recordLimit(this.#limited, this.limit ?? Infinity, this.now, this.now);
        }
    }

    mostInWindow(from: number): number {
        const counts = this.arrivals
            .filter(it => it >= from)
            .map(start => this.arrivals.filter(it => it >= start && it < start + windowMs).length);
        return Math.max(0, ...counts);
    }

    #submit(dispatcher: ServiceDispatcher): void {
        const call = makeCall({ deadlineAt: this.now + 1_000 });
        dispatcher.submit(call, this.now).subscribe({
            next: slot => {
                this.#running.push({ slot, owner: dispatcher, endsAt: this.now + responseMs });
                if (slot.server.address === this.#limited) {
                    this.arrivals.push(this.now);
                }
            },
            error: (err: unknown) => this.errors.push(err instanceof CallError ? err.kind : String(err)),
        });
    }

    #settleEnded(): void {
        const ended = this.#running.filter(it => it.endsAt <= this.now);
        this.#running = this.#running.filter(it => it.endsAt > this.now);
        for (const { slot, owner } of ended) {
            if (slot.server.address === this.#limited) {
                owner.recordLimit(this.#limited, this.limit ?? Infinity, this.now, this.now);
            }
            owner.settle(slot, ok, this.now);
        }
    }
}

for (const count of [1, 2, 19]) {
    for (const [perSecond, servers] of [
        [1, 3],
        [5, 3],
        [20, 3],
        [2, 1],
        [5, 1],
    ] as const) {
        test(`${count} dispatchers together keep a limit of ${perSecond} a second of one of ${servers} servers`, () => {
            const fleet = new DispatcherFleet(count, servers);
            fleet.run(500);
            fleet.limit = perSecond;
            fleet.run(3_000);
            const from = fleet.now;
            fleet.run(12_000);
            const most = fleet.mostInWindow(from);
            assert.ok(most <= (perSecond * windowMs * 1.5) / 1_000 + 5, `${most}`);
            const used = fleet.arrivals.filter(it => it >= from).length;
            assert.ok(servers > 1 || used >= perSecond * 12 * 0.7, `${used}`);
        });
    }
}

test("a dispatcher without a share of a limit uses the server again once a probe shows that the limit has ended", () => {
    const fleet = new DispatcherFleet(19, 1);
    fleet.limit = 1;
    fleet.run(3_000);
    fleet.limit = undefined;
    fleet.probeAll();
    const before = fleet.arrivals.length;
    fleet.run(1_000);
    const used = fleet.arrivals.length - before;
    assert.ok(used > 50, `${used}`);
});

test("a call that no server may be sent before its deadline is refused at once as overloaded", () => {
    const service = makeService(1, 8);
    const dispatcher = new ServiceDispatcher(service, { index: 0, count: 1 }, new SeededRandom(1), 0);
    dispatcher.recordLimit(service.servers[0]?.address ?? "", 0.2, 0, 0);
    const errors: unknown[] = [];
    dispatcher.submit(makeCall({ deadlineAt: 1_000 }), 0).subscribe({ error: it => errors.push(it) });
    assert.ok(errors[0] instanceof CallError);
    assert.equal(errors[0].kind, "overloaded");
    assert.equal(dispatcher.view(0).servers[0]?.state, "limited");
});

test("an older report doesn't replace a newer limit", () => {
    const service = makeService(1, 8);
    const address = service.servers[0]?.address ?? "";
    const dispatcher = new ServiceDispatcher(service, { index: 0, count: 1 }, new SeededRandom(1), 0);
    dispatcher.recordLimit(address, 0.2, 100, 100);
    dispatcher.recordLimit(address, Infinity, 50, 120);
    assert.equal(dispatcher.view(120).servers[0]?.state, "limited");
});
