import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { LeaseAction } from "../../../src/process/placement/leaseAction.ts";
import { RecordFollower } from "../../../src/process/replica/recordFollower.ts";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import { CopyProof } from "../../../src/process/router/copyProof.ts";
import { NodeTable } from "../../../src/process/router/nodeTable.ts";
import { StoreWatchController } from "../../../src/process/router/storeWatchController.ts";
import { CountedStore } from "../../support/countedStore.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

const configurationMilliseconds = 4_000;

describe("StoreWatchController", () => {
    let owners: RendezvousOwners;

    before(async () => {
        owners = await RendezvousOwners.create();
    });

    /** Starts a node that in each step hears from the other nodes, whose copies are current. */
    function start({ otherCount, nodeId = "own", hasWork = false, isSeed = false, isTold = () => true, ...others }: {
        otherCount: number;
        nodeId?: string;
        prefix?: string;
        isTold?: () => boolean;
        hasWork?: boolean;
        isSeed?: boolean;
        isWithoutStore?: () => boolean;
    }) {
        const clock = FakeClock.create();
        const store = new CountedStore();
        const nodes = NodeTable.create(nodeId);
        const { prefix = "node" } = others;
        const log = RecordingEventLog.create();
        const leaseCalls: string[] = [];
        const selections: number[] = [];
        const section = RecordSection.create({ name: "s", onChange: () => undefined });
        const follower = RecordFollower.create({
            store,
            section,
            prefix: "s/",
            isStoreAnswering: () => !store.isDown,
            callStore: async () => !store.isDown,
            onMissedChanges: () => undefined,
            clock,
            random: () => 0.5,
            log,
        });
        const proof = CopyProof.create({ clock, followers: [follower], configurationMilliseconds });
        const controller = StoreWatchController.create({
            nodeId,
            clock,
            nodes,
            owners,
            followers: [follower],
            proof,
            lease: {
                isHeld: () => false,
                isLastHolder: () => false,
                start: () => leaseCalls.push("start"),
                pause: () => leaseCalls.push("pause"),
                keep: () => leaseCalls.push("keep"),
                refresh: () => leaseCalls.push("refresh"),
                rest: () => leaseCalls.push("rest"),
            },
            isDraining: () => false,
            callStore: async () => !store.isDown,
            configurationMilliseconds,
            isSeed,
            getLeaseAction: () => hasWork ? LeaseAction.Acquire : LeaseAction.Release,
            onSelected: () => selections.push(clock.getMonotonicTime()),
            getLag: () => 0,
            onCopyAge: () => undefined,
            log,
        });
        controller.start();
        const advance = async (milliseconds: number) => {
            for (let passed = 0; passed < milliseconds; passed += 50) {
                for (let index = 0; index < otherCount; index++) {
                    const heardAt = clock.getMonotonicTime();
                    nodes.update({
                        nodeId: `${prefix}-${index}`,
                        address: `10.0.0.${index}:1`,
                        dataCentre: "a",
                        isWithoutStore: others.isWithoutStore?.() ?? false,
                        heardAt,
                    });
                }
                if (isTold()) {
                    proof.recordPeerTime(clock.getMonotonicTime());
                }
                await clock.advance(50);
            }
        };
        return { store, controller, proof, leaseCalls, selections, advance };
    }

    it("reads the store once at start and leaves watching it to others in a large deployment", async () => {
        const { store, advance } = start({ otherCount: 194 });
        await advance(10_000);
        assert.equal(store.reads, 1);
        assert.ok(store.waits <= 1, `${store.waits} waits`);
    });

    it("watches the store in a small deployment", async () => {
        const { store, controller, selections, advance } = start({ otherCount: 8 });
        await advance(3_000);
        assert.equal(controller.isStoreWatcher(), true);
        assert.equal(selections.length, 1);
        assert.ok(store.waits > 1);
    });

    it("confirms its copy by calls only while no other node has confirmed it", async () => {
        let isTold = true;
        const { store, proof, advance } = start({ otherCount: 8, isTold: () => isTold });
        await advance(4_000);
        store.hasChanges = false;
        const before = store.confirmations;
        await advance(10_000);
        assert.equal(store.confirmations, before);
        isTold = false;
        await advance(10_000);
        const calls = store.confirmations - before;
        assert.ok(calls >= 4 && calls <= 13, `${calls} calls`);
        assert.ok(proof.getTime() >= 24_000 - 2_250, `known at ${proof.getTime()}`);
    });

    it("watches the store immediately as a seed", async () => {
        const { controller, advance } = start({ otherCount: 2, isSeed: true });
        await advance(300);
        assert.equal(controller.isStoreWatcher(), true);
    });

    it("acquires the lease while there is an order to send, and releases it otherwise", async () => {
        const idle = start({ otherCount: 8 });
        await idle.advance(4_000);
        assert.equal(idle.leaseCalls.at(-1), "rest");
        assert.ok(!idle.leaseCalls.includes("start"));
        const busy = start({ otherCount: 8, hasWork: true });
        await busy.advance(4_000);
        assert.equal(busy.leaseCalls.at(-1), "start");
    });

    it("reads the lease's record once when it becomes the planner", async () => {
        const { leaseCalls, advance } = start({ otherCount: 0, isSeed: true });
        await advance(3_000);
        assert.equal(leaseCalls.filter(call => call === "refresh").length, 1);
        assert.ok(!leaseCalls.includes("start"));
    });

    it("does not try to acquire the lease while the store refuses the node", async () => {
        const { store, leaseCalls, advance } = start({ otherCount: 8, hasWork: true });
        await advance(4_000);
        store.isDown = true;
        await advance(3_000);
        assert.equal(leaseCalls.at(-1), "pause");
    });

    /** Finds an id for the node with which a number of others come before it in the order of the watchers. */
    function findNodeId(rank: number, otherCount: number): string {
        const others = Array.from({ length: otherCount }, (_, index) => `node-${index}`);
        for (let number = 0;; number++) {
            const nodeId = `own-${number}`;
            if (owners.getOwners("store", [...others, nodeId], otherCount + 1).indexOf(nodeId) === rank) {
                return nodeId;
            }
        }
    }

    /** Starts a node of a large deployment, loses the waiting calls, and returns the number of calls for changes in the next 10 s. */
    async function countConfirmations(rank: number, isTold: () => boolean) {
        const nodeId = findNodeId(rank, 12);
        const { store, proof, advance } = start({ otherCount: 12, nodeId, isTold });
        store.hasChanges = false;
        await advance(6_000);
        store.loseWaits();
        const before = store.confirmations;
        await advance(10_000);
        return { calls: store.confirmations - before, freshTime: proof.getTime() };
    }

    // A node whose waiting call was lost took its copy for current as long as the store answered a health check, and told its peers so.
    it("does not take its copy for current because the store answers a probe", async () => {
        for (const rank of [0, 1, 2, 12]) {
            const { calls, freshTime } = await countConfirmations(rank, () => false);
            assert.ok(calls > 0, `No call for changes with ${rank} watchers before`);
            assert.ok(freshTime >= 16_000 - 4_000, `current at ${freshTime} with ${rank} watchers before`);
        }
    });

    it("takes over later, the more watchers are before it, if no proof reaches it", async () => {
        const counts: number[] = [];
        for (const rank of [0, 1, 2, 12]) {
            counts.push((await countConfirmations(rank, () => false)).calls);
        }
        assert.deepEqual(counts, [8, 5, 3, 3]);
    });

    it("makes no call for changes in a large deployment while proofs of other nodes reach it", async () => {
        for (const rank of [0, 1, 12]) {
            assert.equal((await countConfirmations(rank, () => true)).calls, 0);
        }
    });

    it("does not take its copy for current while the store answers no call for changes", async () => {
        const { store, proof, advance } = start({ otherCount: 8, isTold: () => false });
        await advance(4_000);
        store.isDown = true;
        await advance(1_000);
        const freshTime = proof.getTime();
        assert.ok(freshTime <= 4_000, `current at ${freshTime}`);
        await advance(5_000);
        assert.equal(proof.getTime(), freshTime);
    });

    // All records that lapsed in an outage of 4 s were taken as gone, since the last failed call was long ago when it ended.
    it("knows of a failure of the store as long as it lasts", async () => {
        const { store, controller, advance } = start({ otherCount: 8 });
        await advance(4_000);
        store.isDown = true;
        await advance(6_000);
        assert.ok(controller.getLastFailure() >= 9_000, `last failure at ${controller.getLastFailure()}`);
    });

    // A holder of the lease that only the store's refusal had separated from it went on ordering beside the next holder.
    for (const otherCount of [8, 12]) {
        it(`takes the store for lost only if none of ${otherCount} other nodes can reach it`, async () => {
            let isWithoutStore = false;
            // The node must be one of the candidates for watching the store.
            const prefix = ["node", "peer", "vm", "host"].find(candidate => {
                const nodeIds = ["own", ...Array.from({ length: otherCount }, (_, index) => `${candidate}-${index}`)];
                return owners.getOwners("store", nodeIds, 12).includes("own");
            })!;
            const options = { otherCount, isSeed: true, isWithoutStore: () => isWithoutStore, prefix };
            const { store, controller, advance } = start(options);
            await advance(1_000);
            assert.equal(controller.isStoreLost(), false);
            store.isDown = true;
            controller.handleStoreRestored();
            await advance(6_000);
            assert.equal(controller.isStoreLost(), false);
            isWithoutStore = true;
            await advance(3_000);
            assert.equal(controller.isStoreLost(), true);
        });
    }
});
