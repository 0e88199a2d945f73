/** Reports calls, probes, configuration versions and members as log events and metrics. */

import type { ConfigEvent } from "@bramleymoor/config/events";
import type { AcceptedVersion } from "@bramleymoor/config/version";
import type { EntryVm, VmState } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import type { CallMetrics, OutcomeLabel } from "@bramleymoor/observe/metrics";
import type { CallOutcome, CallObserver, CallRecord } from "@bramleymoor/proxy/observer";

/** Writes log events and records metrics. */
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

    connectionUnread(waitMs: number): void {
        this.#events.emit("connection-unread", { waitMs: Math.round(waitMs) });
    }

    badRequest(code: string, remoteAddress: string): void {
        this.#events.emit("request-malformed", { address: remoteAddress, reason: code });
    }

    internalError(doing: string, err: unknown): void {
        const reason = err instanceof Error ? String(err.stack) : String(err);
        this.#events.emit("internal-error", { doing, reason });
    }

    /** Records the server time in milliseconds and the bytes that a probe cost. */
    recordProbe(service: string, serverMs: number, bytes: number): void {
        this.#metrics.recordProbe(service, serverMs);
        this.#metrics.recordControlTraffic("probes", "out", bytes);
    }

    /** Logs an event of the configuration follower or checkpointer. */
    recordConfigEvent(event: ConfigEvent): void {
        this.#events.emit(`config-${event.name}`, { detail: event.text });
    }

    /** Records the configuration version that this process now uses. */
    recordVersion(version: AcceptedVersion): void {
        this.#metrics.setConfigVersion(version.number);
        this.#events.emit("config-accepted", { version: version.number, digest: version.digest });
    }

    /** Records the members, and logs which of them joined, changed state or were removed. */
    recordMembers(vms: readonly EntryVm[]): void {
        const next = new Map(vms.map(vm => [vm.id, vm]));
        for (const vm of vms) {
            const previous = this.#members.get(vm.id);
            if (previous?.state !== vm.state || previous.incarnation !== vm.incarnation) {
                this.#emitChange(previous, vm);
            }
        }
        for (const [id, vm] of this.#members) {
            if (!next.has(id)) {
                this.#events.emit("member-dead", { id, incarnation: vm.incarnation });
            }
        }
        this.#members = next;
        this.#metrics.setMemberCounts(countStates(vms));
    }

    #emitChange(previous: EntryVm | undefined, vm: EntryVm): void {
        const { id, incarnation, place } = vm;
        if (!previous || previous.incarnation !== incarnation) {
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

const outcomeOf = (outcome: CallOutcome): OutcomeLabel => {
    switch (outcome) {
        case "cancelled":
            return "caller-gone";
        case "broken":
            return "body-broken";
        case "forwarded":
            return "passed-on";
        default:
            return outcome;
    }
};

const countStates = (vms: readonly EntryVm[]): Readonly<Record<VmState, number>> => {
    const counts = { alive: 0, suspect: 0, leaving: 0, dead: 0 };
    for (const vm of vms) {
        counts[vm.state]++;
    }
    return counts;
};
