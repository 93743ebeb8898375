import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { Member } from "../../../src/process/membership/member.ts";
import { MembershipView } from "../../../src/process/membership/membershipView.ts";
import type { VmRecord } from "../../../src/process/platform/vmList.ts";

const other: Member = {
    nodeId: "other",
    incarnation: 7,
    state: "alive",
    peerAddress: "10.0.0.2:1",
    dataCentre: "a",
    configurationVersion: 1,
};
const otherVm: VmRecord = { vm: "other", state: "live", role: "node", address: other.peerAddress, dataCentre: "a" };

describe("MembershipView", () => {
    let view: MembershipView;

    beforeEach(() => {
        view = MembershipView.create({
            nodeId: "self",
            peerAddress: "10.0.0.1:1",
            dataCentre: "a",
            incarnation: 5,
            suspicionTimeoutMilliseconds: 100,
            deadRetentionMilliseconds: 1_000,
        });
        view.applyRecords([other], 0);
    });

    function getState(nodeId = "other"): string | undefined {
        return view.getMember(nodeId)?.state;
    }

    describe("noteMiss", () => {
        it("suspects a member first and declares it dead after the timeout", () => {
            view.noteMiss("other", 0);
            assert.equal(getState(), "suspect");
            assert.equal(view.getAliveMembers().length, 2);
            view.advance(99);
            assert.equal(getState(), "suspect");
            view.advance(100);
            assert.equal(getState(), "dead");
            assert.equal(view.getAliveMembers().length, 1);
        });

        it("is ignored for a time after other nodes have shown that the member is alive", () => {
            view.noteMiss("other", 0);
            view.applyRecords([{ ...other, incarnation: 8 }], 50);
            view.noteMiss("other", 60);
            view.advance(300);
            assert.equal(getState(), "alive");
            view.noteMiss("other", 450);
            assert.equal(getState(), "suspect");
        });

        it("declares a silent leaving member dead unless it answers", () => {
            view.applyRecords([{ ...other, state: "leaving", incarnation: 8 }], 0);
            view.noteMiss("other", 0);
            view.noteContact("other");
            view.advance(100);
            assert.equal(getState(), "leaving");
            view.noteMiss("other", 100);
            view.advance(200);
            assert.equal(getState(), "dead");
        });
    });

    describe("applyRecords", () => {
        it("refutes suspicions of its own node and supersedes an earlier process", () => {
            view.applyRecords([{ ...view.getSelf(), state: "suspect" }], 0);
            assert.equal(view.getSelf().incarnation, 6);
            view.applyRecords([{ ...view.getSelf(), state: "dead", incarnation: 40 }], 0);
            assert.deepEqual([view.getSelf().state, view.getSelf().incarnation], ["alive", 41]);
            view.announceLeaving();
            view.applyRecords([{ ...view.getSelf(), state: "dead" }], 0);
            assert.deepEqual([view.getSelf().state, view.getSelf().incarnation], ["leaving", 43]);
        });

        it("does not revive a dead member from old records while it is retained", () => {
            view.applyRecords([{ ...other, state: "dead" }], 0);
            view.applyRecords([other], 500);
            assert.equal(getState(), "dead");
            view.advance(1_000);
            assert.equal(view.getMember("other"), undefined);
        });
    });

    describe("applyWholeView", () => {
        it("only suspects members that a peer considers dead", () => {
            view.applyWholeView([{ ...other, state: "dead" }], 0);
            assert.equal(getState(), "suspect");
        });
    });

    describe("applyVmList", () => {
        it("uses addresses without a member as seeds", () => {
            const unknownVm = { ...otherVm, vm: "new", address: "10.0.0.3:1" };
            const engine = { ...otherVm, vm: "engine", address: "10.0.0.4:1", role: "endpoint" as const };
            view.applyVmList([otherVm, unknownVm, engine], 0);
            assert.deepEqual(view.getSeedAddresses(), ["10.0.0.3:1"]);
            view.noteSeedAnswered("10.0.0.3:1");
            assert.deepEqual(view.getSeedAddresses(), []);
        });

        it("marks a leaving VM's member once and never revives it or overrides its own records", () => {
            view.applyVmList([{ ...otherVm, state: "leaving" }], 0);
            assert.equal(getState(), "leaving");
            view.applyRecords([{ ...other, incarnation: 8 }], 0);
            view.applyVmList([{ ...otherVm, state: "leaving" }], 10);
            assert.equal(getState(), "alive");
            view.applyRecords([{ ...other, incarnation: 8, state: "dead" }], 0);
            view.applyVmList([otherVm], 20);
            assert.equal(getState(), "dead");
            assert.equal(view.getReconnectionCandidates().length, 1);
        });

        it("declares a suspect dead if its VM is no longer listed, but not an alive member", () => {
            view.applyVmList([otherVm], 0);
            view.applyVmList([], 0);
            assert.equal(getState(), "alive");
            view.applyVmList([otherVm], 0);
            view.noteMiss("other", 0);
            view.applyVmList([], 0);
            assert.equal(getState(), "dead");
        });
    });

    describe("onChange", () => {
        it("distinguishes version changes and stops after unsubscribing", () => {
            const versionOnlyFlags: boolean[] = [];
            const unsubscribe = view.onChange(change => versionOnlyFlags.push(change.isVersionOnly));
            view.setConfigurationVersion(4);
            view.setConfigurationVersion(3);
            view.applyRecords([{ ...other, configurationVersion: 2 }, { ...other, state: "suspect" }], 0);
            unsubscribe();
            view.announceLeaving();
            assert.deepEqual(versionOnlyFlags, [true, true, false]);
            assert.equal(view.getSelf().configurationVersion, 4);
        });
    });
});
