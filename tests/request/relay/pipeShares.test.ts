import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getTransferTime } from "../../../src/request/relay/getTransferTime.ts";
import { PipeShares } from "../../../src/request/relay/pipeShares.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";
import { relayModel } from "./relayModel.ts";

const tokens = 1_000;
const transferTime = getTransferTime(relayModel, tokens);
const nodeCount = 17;

describe("PipeShares", () => {
    it("has a request wait for what was sent over the same pipe in the same direction", () => {
        const shares = PipeShares.create(() => 1);
        shares.take("a", "b", relayModel, tokens, 0);
        assert.equal(shares.getWait("a", "b", 0), 0);
        shares.take("a", "b", relayModel, tokens, 0);
        assert.ok(shares.getWait("a", "b", 0) >= transferTime);
        assert.equal(shares.getWait("b", "a", 0), 0);
        assert.equal(shares.getWait("a", "c", 0), 0);
        assert.equal(shares.getWait("a", "b", 10 * transferTime), 0);
    });

    it("gives a node the less the more others there are", () => {
        const shares = PipeShares.create(() => 1 / nodeCount);
        shares.take("a", "b", relayModel, tokens, 0);
        shares.take("a", "b", relayModel, tokens, 0);
        assert.ok(shares.getWait("a", "b", 0) >= nodeCount * transferTime);
    });

    /**
     * No data centre had a whole chain for five seconds, and all requests crossed the same pipe, three times as many as it carries:
     * of 339 requests sent meanwhile 337 ended with their callers gone, since each waited behind the prompts of all before it.
     */
    it("lets over a pipe what it carries in time, where three times as much asks for it", () => {
        const { started, late } = cross(3);
        assert.ok(started > 0.6, `${started} of what the pipe carries`);
        assert.ok(late < 0.05, `${late} of those that started`);
    });

    it("holds nothing up where a pipe is asked for half of what it carries", () => {
        const { started, late } = cross(0.5);
        assert.ok(started > 0.45, `${started} of what the pipe carries`);
        assert.ok(late < 0.05, `${late} of those that started`);
    });
});

/**
 * Plays requests of many nodes for one pipe, which sends one after the other. A request that its node doesn't let start tries again
 * for as long as it can be in time.
 * @param load - Requests, as a multiple of what the pipe carries.
 * @returns Requests that started, as a part of what the pipe carries, and the part of these that waited for too long in the pipe.
 */
function cross(load: number): { started: number; late: number; } {
    const random = createSeededRandom(3);
    const nodes = Array.from({ length: nodeCount }, () => PipeShares.create(() => 1 / nodeCount));
    const patience = 30 * transferTime;
    const longestWait = 20 * transferTime;
    const end = 1_000 * transferTime;
    const step = transferTime / 4;
    let waiting: { node: PipeShares; until: number; }[] = [];
    let pipeFreeAt = 0;
    let started = 0;
    let late = 0;
    for (let now = 0; now < end; now += step) {
        if (random() < load / 4) {
            waiting.push({ node: nodes[Math.floor(random() * nodeCount)]!, until: now + patience });
        }
        const left: typeof waiting = [];
        for (const request of waiting) {
            if (request.node.getWait("a", "b", now) > 0) {
                left.push(request);
                continue;
            }
            request.node.take("a", "b", relayModel, tokens, now);
            pipeFreeAt = Math.max(pipeFreeAt, now) + transferTime;
            started += 1;
            late += pipeFreeAt - now > longestWait ? 1 : 0;
        }
        waiting = left.filter(({ until }) => now < until);
    }
    return { started: started * transferTime / end, late: late / started };
}
