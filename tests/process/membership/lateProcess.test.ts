import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import type { PeerError } from "../../../src/connection/peer/peerError.ts";
import { PeerErrorKind } from "../../../src/connection/peer/peerErrorKind.ts";
import { Gossiper } from "../../../src/process/membership/gossiper.ts";
import type { Member } from "../../../src/process/membership/member.ts";
import { MembershipView } from "../../../src/process/membership/membershipView.ts";
import { MemberState } from "../../../src/process/membership/memberState.ts";
import { Err, Ok, type Result } from "../../../src/result.ts";
import { type GossipResponse, GossipResponseSchema } from "../../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";
import { FakeClock } from "../../support/fakeClock.ts";

const callMilliseconds = 250;
const intervalMilliseconds = 50;
const maximumTurnMilliseconds = 25;
const suspicionMilliseconds = 1_000;
const peer: Member = {
    nodeId: "peer",
    incarnation: 1,
    state: MemberState.Alive,
    peerAddress: "127.0.0.1:2",
    dataCentre: "a",
    configurationVersion: 0,
};

describe("A process that is late", () => {
    let clock: FakeClock;
    let view: MembershipView;
    let isAnswering: boolean;
    /** Turns of the event loop that a call needs until its answer is read. */
    let turnsOfCall: number;
    /** Whether calls get more time when the process has long turns. */
    let takesFactor: boolean;

    beforeEach(() => {
        clock = FakeClock.create();
        isAnswering = true;
        turnsOfCall = 1;
        takesFactor = false;
        view = MembershipView.create({
            nodeId: "own",
            peerAddress: "127.0.0.1:1",
            dataCentre: "a",
            incarnation: 1,
            suspicionTimeoutMilliseconds: suspicionMilliseconds,
        });
        const gossiper = Gossiper.create({
            view,
            log: { write: () => undefined },
            clock,
            random: () => 0.5,
            intervalMilliseconds,
            maximumTurnMilliseconds,
            payloads: {
                collectEndpointRecords: () => [],
                applyEndpointRecords: () => undefined,
                collectDemandRecords: () => [],
                applyDemandRecords: () => undefined,
            },
            callGossip: callPeer,
            onPeerConfigurationVersion: () => undefined,
        });
        view.applyRecords([peer], 0);
        gossiper.start();
    });

    /** Answers after 10 ms, unless the caller is late or the peer does not answer; then the call times out. */
    async function callPeer(
        _address: string,
        _request: unknown,
        factor: number,
    ): Promise<Result<GossipResponse, PeerError>> {
        const sentAt = clock.getMonotonicTime();
        const timeout = callMilliseconds * (takesFactor ? factor : 1);
        for (let turn = 0; turn < turnsOfCall && clock.getMonotonicTime() - sentAt < timeout; turn++) {
            await new Promise<void>(resolve => clock.setTimer(isAnswering ? 10 : timeout, resolve));
        }
        return clock.getMonotonicTime() - sentAt < timeout
            ? Ok(create(GossipResponseSchema, {}))
            : Err({ kind: PeerErrorKind.TimedOut, message: "The call timed out." });
    }

    const getState = () => view.getMember("peer")?.state;

    it("suspects no peer whose answer it read too late", async () => {
        await clock.advance(500);
        for (let count = 0; count < 10; count++) {
            clock.freeze(400);
            await clock.advance(5);
            assert.equal(getState(), MemberState.Alive);
        }
    });

    // A starved process declared its peers dead: a call took more turns than its time had, while the rounds, one a turn, were on time.
    it("suspects no peer whose answers need more turns of the event loop than it had", async () => {
        await clock.advance(500);
        turnsOfCall = 6;
        for (let count = 0; count < 100; count++) {
            clock.freeze(intervalMilliseconds);
            await clock.advance(0);
            assert.equal(getState(), MemberState.Alive);
        }
    });

    it("declares no suspect dead before it has read what came meanwhile", async () => {
        isAnswering = false;
        await clock.advance(900);
        assert.equal(getState(), MemberState.Suspect);
        clock.freeze(2 * suspicionMilliseconds);
        await clock.advance(60);
        assert.equal(getState(), MemberState.Suspect);
        view.applyRecords([{ ...peer, incarnation: 2 }], clock.getMonotonicTime());
        assert.equal(getState(), MemberState.Alive);
    });

    // Guards against a busy process that judges nobody any more.
    it("declares a peer dead that does not answer while the process has short turns", async () => {
        isAnswering = false;
        for (let count = 0; count < 150; count++) {
            clock.freeze(maximumTurnMilliseconds * 0.7);
            await clock.advance(0);
        }
        assert.equal(getState(), MemberState.Dead);
    });

    // A starved process declared suspects dead: its turns were too long for any call to get through, so no refutation could.
    it("declares no suspect dead while calls have too few turns of the event loop to get through", async () => {
        await clock.advance(500);
        turnsOfCall = 6;
        view.applyRecords([{ ...peer, state: MemberState.Suspect }], clock.getMonotonicTime());
        for (let count = 0; count < 100; count++) {
            clock.freeze(intervalMilliseconds);
            await clock.advance(0);
            assert.equal(getState(), MemberState.Suspect);
        }
        await clock.advance(2 * suspicionMilliseconds);
        assert.equal(getState(), MemberState.Dead);
    });

    // Guards against a starved process that judges nobody any more.
    it("declares a peer dead that does not answer while all turns are long, as soon as calls have got enough of them", async () => {
        takesFactor = true;
        isAnswering = false;
        for (let turn = 0; turn < 300 && getState() !== MemberState.Dead; turn++) {
            clock.freeze(56 + turn % 45);
            await clock.advance(0);
        }
        assert.equal(getState(), MemberState.Dead);
    });

    it("suspects no peer while all turns are long if its answers come once calls get more time", async () => {
        takesFactor = true;
        turnsOfCall = 12;
        for (let turn = 0; turn < 300; turn++) {
            clock.freeze(56 + turn % 45);
            await clock.advance(0);
            assert.equal(getState(), MemberState.Alive);
        }
    });

    it("declares a peer dead that does not answer while the process is in time", async () => {
        isAnswering = false;
        await clock.advance(700 + suspicionMilliseconds + callMilliseconds);
        assert.equal(getState(), MemberState.Dead);
    });
});
