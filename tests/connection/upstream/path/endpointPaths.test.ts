import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { EndpointPaths } from "../../../../src/connection/upstream/path/endpointPaths.ts";

const address = "10.0.0.1:80";
const other = "10.0.0.2:80";
const secondMilliseconds = 1_000;

describe("EndpointPaths", () => {
    let paths: EndpointPaths;
    let changes: string[];

    beforeEach(() => {
        changes = [];
        paths = EndpointPaths.create({
            onChanged: (changed, failure) => changes.push(`${changed} ${failure ?? "open"}`),
            onRefused: () => undefined,
        });
    });

    it("gives a direct connection a head start while the last one was opened", () => {
        const { isDirect, peerDelayMilliseconds } = paths.planOpen(address, 0);
        assert.ok(isDirect);
        assert.ok(peerDelayMilliseconds > 0);
    });

    it("asks a peer at once while direct connections fail, and tries one again only now and then", () => {
        paths.recordFailed(address, "refused", 0);
        assert.deepEqual(paths.planOpen(address, 100), { isDirect: false, peerDelayMilliseconds: 0 });
        assert.deepEqual(paths.planOpen(address, secondMilliseconds), { isDirect: true, peerDelayMilliseconds: 0 });
        paths.recordOpened(address, secondMilliseconds);
        assert.ok(paths.planOpen(address, secondMilliseconds).peerDelayMilliseconds > 0);
    });

    it("reports each change once, with the number of unreachable addresses", () => {
        paths.recordFailed(address, "refused", 0);
        paths.recordFailed(address, "refused", 10);
        paths.recordFailed(other, "silent", 20);
        assert.equal(paths.getFailingCount(), 2);
        assert.equal(paths.getFailingSince(address), 0);
        paths.recordOpened(address, 30);
        assert.equal(paths.getFailingCount(), 1);
        assert.deepEqual(changes, [`${address} refused`, `${other} silent`, `${address} open`]);
    });

    it("takes several addresses that fail together as a sign for all, but not those that fail far apart", () => {
        paths.recordFailed(address, "refused", 0);
        assert.equal(paths.hasCoincidence(0), false);
        paths.recordFailed(other, "refused", 2 * secondMilliseconds);
        assert.equal(paths.hasCoincidence(2 * secondMilliseconds), false);
        paths.recordFailed("10.0.0.3:80", "refused", 2 * secondMilliseconds + 1);
        assert.ok(paths.hasCoincidence(2 * secondMilliseconds + 1));
    });

    it("tries those addresses again first that were tried least recently", () => {
        paths.recordFailed(address, "refused", 0);
        paths.recordFailed(other, "refused", 10);
        assert.deepEqual(paths.listDue(100, 8), []);
        assert.deepEqual(paths.listDue(secondMilliseconds, 1), [address]);
        paths.recordFailed(address, "refused", secondMilliseconds);
        assert.deepEqual(paths.listDue(secondMilliseconds, 8), [other]);
    });

    it("does not ask peers for a while after they could not connect either, unless a direct connection opens", () => {
        paths.recordPeersFailed(address, 0);
        assert.equal(paths.mayAskPeers(address, 100), false);
        assert.ok(paths.mayAskPeers(address, secondMilliseconds));
        paths.recordPeersFailed(address, 0);
        paths.recordOpened(address, 50);
        assert.ok(paths.mayAskPeers(address, 100));
    });

    it("forgets addresses that no endpoint has any more", () => {
        paths.recordFailed(address, "refused", 0);
        paths.recordOpened(other, 0);
        paths.retain(new Set([other]));
        assert.equal(paths.getFailingCount(), 0);
        assert.equal(paths.getFailingFraction(), 0);
    });
});
