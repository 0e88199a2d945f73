import assert from "node:assert/strict";
import { test } from "node:test";
import { demandShare, type FleetDemand } from "../src/fleetdemand.js";

const fleet: FleetDemand = {
    ownRequestsPerSecond: 18,
    requestsPerSecond: 594,
    knownEntryVms: 311,
    entryVms: 311,
};

test("an entry VM's share of the requests is its part of those of all", () => {
    assert.equal(demandShare(fleet), 18 / 594);
});

test("while the demand of most entry VMs isn't known, they are assumed to have as much as the known ones", () => {
    const partly = { ...fleet, requestsPerSecond: 18 + 58, knownEntryVms: 32 };
    assert.ok(Math.abs(demandShare(partly) - 18 / (18 + 580)) < 1e-9, `${demandShare(partly)}`);
});

test("an entry VM that knows of no other's demand has all of it", () => {
    assert.equal(demandShare({ ...fleet, requestsPerSecond: 18, knownEntryVms: 1 }), 1);
    assert.equal(demandShare({ ...fleet, requestsPerSecond: undefined }), 1);
    assert.equal(demandShare({ ...fleet, entryVms: Infinity }), 1);
});

test("an entry VM without requests has no share of those of others", () => {
    assert.equal(demandShare({ ...fleet, ownRequestsPerSecond: 0 }), 0);
    assert.equal(demandShare({ ...fleet, ownRequestsPerSecond: 0, requestsPerSecond: 0 }), 1);
});
