import { Membership } from "@bramleymoor/membership/membership";
import type { GossipMessage, GossipReply, Transport } from "@bramleymoor/membership/messages";
import type { ListedVm } from "@bramleymoor/membership/vmlist";
import type { EntryVm } from "@bramleymoor/model/vm";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { membershipModel } from "../src/fuzz-membership.js";
import type { MembershipFactory } from "../src/gossipnet.js";

type Records = GossipMessage["records"];

/** Returns a factory of memberships that receive only the records that `keep` returns. */
const withRecordFilter = (keep: (records: Records, selfId: string) => Records): MembershipFactory => {
    return (self, transport, ...rest) => {
        const filtered = <M extends GossipMessage | GossipReply>(message: M): M => {
            return { ...message, records: keep(message.records, self.id) };
        };
        const filteringTransport: Transport = {
            send: async (address, message) => filtered(await transport.send(address, message)),
        };
        return new (class extends Membership {
            override receive(message: GossipMessage, now: number): Promise<GossipReply> {
                return super.receive(filtered(message), now);
            }
        })(self, filteringTransport, ...rest);
    };
};

/** The one fault that needs a VM list from an older copy; the others are looked for without such lists. */
const vmListFault = "members that an older VM list lacks are dropped";

const faultyFactories: Readonly<Record<string, MembershipFactory>> = {
    "members don't refute suspicions": withRecordFilter((records, selfId) =>
        records.filter(record => record[0] !== selfId),
    ),
    "the first incarnation of an entry VM outranks later ones": (self, transport, settings, ...rest) => {
        const make = withRecordFilter((records, selfId) => records.filter(record => record[0] !== selfId));
        return make(self, transport, { ...settings, startedAt: 1e9 - settings.startedAt }, ...rest);
    },
    "a suspect is never declared dead": (self, transport, settings, ...rest) =>
        new Membership(self, transport, { ...settings, suspectPeriods: 1e6 }, ...rest),
    "lost members are never contacted again": (self, transport, settings, ...rest) => {
        const onlyMembers: Transport = {
            send: (address, message) => {
                const addresses = membership.current.map(vm => vm.peerAddress);
                const wanted = addresses.length < 2 || addresses.includes(address);
                return wanted ? transport.send(address, message) : Promise.reject(new Error("not contacted"));
            },
        };
        const membership = new Membership(self, onlyMembers, settings, ...rest);
        return membership;
    },
    [vmListFault]: (...args) => {
        let listed: readonly string[] = [];
        return new (class extends Membership {
            override updateVmList(vms: readonly ListedVm[], now: number): void {
                listed = vms.map(it => it.id);
                super.updateVmList(vms, now);
            }

            override get current(): readonly EntryVm[] {
                return super.current.filter(({ id }) => listed.length === 0 || listed.includes(id));
            }
        })(...args);
    },
    "a replaced incarnation doesn't yield": (self, ...rest) => {
        const own = (records: Records): Records => {
            return records.filter(record => record[0] !== self.id || record[1] === self.incarnation);
        };
        return withRecordFilter(own)(self, ...rest);
    },
};

test("after any schedule of faults all views agree on one incarnation of each entry VM, and stay so", async () => {
    const result = await fc.check(membershipModel().property(), { seed: 1, numRuns: 12 });
    assert.ok(!result.failed, `${String(result.errorInstance)} ${String(result.counterexample)}`);
});

test("the record filter used by the faulty memberships changes nothing by itself", async () => {
    const property = membershipModel(withRecordFilter(records => records)).property();
    const result = await fc.check(property, { seed: 1, numRuns: 5 });
    assert.ok(!result.failed, String(result.errorInstance));
});

for (const [name, make] of Object.entries(faultyFactories)) {
    test(`the membership model detects a fault: ${name}`, async () => {
        const property = membershipModel(make, name === vmListFault).property();
        const result = await fc.check(property, { seed: 1, numRuns: 30, endOnFailure: true });
        assert.ok(result.failed);
        assert.match(String(result.errorInstance), /list/);
    });
}
