/** Turns what the parts tell into numbered events and metrics. */

import type { ConfigEvent } from "@bramleymoor/config/events";
import type { AcceptedVersion } from "@bramleymoor/config/version";
import type { EntryVm, VmState } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import type { CallMetrics, OutcomeLabel } from "@bramleymoor/observe/metrics";
import type { CallOutcome, CallObserver, CallRecord } from "@bramleymoor/proxy/observer";

/** Watches calls, configuration and members. */
export class EventReporter implements CallObserver {
    readonly #events: EventLog;
    readonly #metrics: CallMetrics;
    #members: ReadonlyMap<string, EntryVm> = new Map();

    constructor(events: EventLog, metrics: CallMetrics) {
        this.#events = events;
        this.#metrics = metrics;
    }

    callEnded(record: CallRecord): void {
        this.#metrics.recordCall({
            service: record.service,
            class: record.class,
            tenant: record.tenant,
            outcome: outcomeOf(record.outcome),
            status: record.status,
            queueMs: record.queueMs,
            serverMs: record.serverMs,
            addedMs: record.addedMs,
            hedged: record.hedges > 0,
            retried: record.retries > 0,
        });
    }

    badRequest(code: string, peer: string): void {
        this.#events.emit("request-malformed", { address: peer, reason: code });
    }

    /** Notes what a probe cost. */
    recordProbe(service: string, serverMs: number, bytes: number): void {
        this.#metrics.recordProbe(service, serverMs);
        this.#metrics.recordControlTraffic("probes", "out", bytes);
    }

    /** Notes an event of configuration. */
    recordConfigEvent(event: ConfigEvent): void {
        this.#events.emit(`config-${event.name}`, { detail: event.text });
    }

    /** Notes a version that is in force here from now on. */
    recordVersion(version: AcceptedVersion): void {
        this.#metrics.setConfigVersion(version.number);
        this.#events.emit("config-accepted", { version: version.number, digest: version.digest });
    }

    /** Notes who joined, changed state and went. */
    recordMembers(list: readonly EntryVm[]): void {
        const next = new Map(list.map(vm => [vm.id, vm]));
        for (const vm of list) {
            const before = this.#members.get(vm.id);
            if (before?.state !== vm.state || before.incarnation !== vm.incarnation) {
                this.#changed(before, vm);
            }
        }
        for (const [id, vm] of this.#members) {
            if (!next.has(id)) {
                this.#events.emit("member-dead", { id, incarnation: vm.incarnation });
            }
        }
        this.#members = next;
        this.#metrics.setMemberCounts(countStates(list));
    }

    #changed(before: EntryVm | undefined, vm: EntryVm): void {
        const { id, incarnation, place } = vm;
        if (!before || before.incarnation !== incarnation) {
            const { region, domain } = place;
            this.#events.emit("member-joined", { id, incarnation, region, domain });
        } else if (vm.state === "suspect") {
            this.#events.emit("member-suspect", { id, incarnation, reason: "it does not answer" });
        } else if (vm.state === "leaving") {
            this.#events.emit("member-left", { id, incarnation });
        } else {
            this.#events.emit("member-back", { id, incarnation });
        }
    }
}

const outcomeOf = (end: CallOutcome): OutcomeLabel => {
    switch (end) {
        case "cancelled":
            return "caller-gone";
        case "cut":
            return "body-broken";
        case "passed":
            return "passed-on";
        default:
            return end;
    }
};

const countStates = (list: readonly EntryVm[]): Readonly<Record<VmState, number>> => {
    const counts = { alive: 0, suspect: 0, leaving: 0, dead: 0 };
    for (const vm of list) {
        counts[vm.state]++;
    }
    return counts;
};
