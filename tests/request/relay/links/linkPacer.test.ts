import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { getTransferTime } from "../../../../src/request/relay/links/getTransferTime.ts";
import { LinkPacer } from "../../../../src/request/relay/links/linkPacer.ts";
import { createSeededRandom } from "../../../support/createSeededRandom.ts";
import { relayModel } from "../relayModel.ts";

const tokens = 1_000;
const transferTime = getTransferTime(relayModel, tokens);
const nodeCount = 17;

describe("LinkPacer", () => {
    it("delays a request behind earlier ones on the same link in the same direction", () => {
        const pacer = LinkPacer.create(() => 1);
        pacer.reserve("a", "b", relayModel, tokens, 0);
        assert.equal(pacer.getWait("a", "b", 0), 0);
        pacer.reserve("a", "b", relayModel, tokens, 0);
        assert.ok(pacer.getWait("a", "b", 0) >= transferTime);
        assert.equal(pacer.getWait("b", "a", 0), 0);
        assert.equal(pacer.getWait("a", "c", 0), 0);
        assert.equal(pacer.getWait("a", "b", 10 * transferTime), 0);
    });

    it("gives each node a smaller share if there are more nodes", () => {
        const pacer = LinkPacer.create(() => 1 / nodeCount);
        pacer.reserve("a", "b", relayModel, tokens, 0);
        pacer.reserve("a", "b", relayModel, tokens, 0);
        assert.ok(pacer.getWait("a", "b", 0) >= nodeCount * transferTime);
    });

    /**
     * Guards against a congested link: if no data centre holds a complete chain for five seconds, all requests use the same link, three
     * times as many as it carries. Without pacing, each request queues behind the prompts of all earlier ones, and nearly all callers give
     * up (337 of 339 requests).
     */
    it("keeps requests on a link in time at three times its capacity", () => {
        const { started, late } = simulateLink(3);
        assert.ok(started > 0.6, `${started} of the capacity of the link`);
        assert.ok(late < 0.05, `${late} of those that started`);
    });

    it("does not delay requests on a link at half of its capacity", () => {
        const { started, late } = simulateLink(0.5);
        assert.ok(started > 0.45, `${started} of the capacity of the link`);
        assert.ok(late < 0.05, `${late} of those that started`);
    });
});

/**
 * Simulates requests from many nodes over one link, which transfers one after the other. A request that its node doesn't start yet is
 * retried for as long as it can be in time.
 * @param load - Offered load, as a multiple of the link's capacity.
 * @returns The started requests as a fraction of the link's capacity, and the fraction of these that waited too long for the link.
 */
function simulateLink(load: number): { started: number; late: number; } {
    const random = createSeededRandom(3);
    const nodes = Array.from({ length: nodeCount }, () => LinkPacer.create(() => 1 / nodeCount));
    const patience = 30 * transferTime;
    const longestWait = 20 * transferTime;
    const end = 1_000 * transferTime;
    const step = transferTime / 4;
    let waiting: { node: LinkPacer; until: number; }[] = [];
    let linkFreeAt = 0;
    let started = 0;
    let late = 0;
    for (let now = 0; now < end; now += step) {
        if (random() < load / 4) {
            waiting.push({ node: nodes[Math.floor(random() * nodeCount)]!, until: now + patience });
        }
        const stillWaiting: typeof waiting = [];
        for (const request of waiting) {
            if (request.node.getWait("a", "b", now) > 0) {
                stillWaiting.push(request);
                continue;
            }
            request.node.reserve("a", "b", relayModel, tokens, now);
            linkFreeAt = Math.max(linkFreeAt, now) + transferTime;
            started += 1;
            late += linkFreeAt - now > longestWait ? 1 : 0;
        }
        waiting = stillWaiting.filter(({ until }) => now < until);
    }
    return { started: started * transferTime / end, late: late / started };
}
