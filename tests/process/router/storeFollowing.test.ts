import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { RecordFollower } from "../../../src/process/replica/recordFollower.ts";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import { NodeTable } from "../../../src/process/router/nodeTable.ts";
import { StoreFollowing } from "../../../src/process/router/storeFollowing.ts";
import { CountedStore } from "../../support/countedStore.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

describe("StoreFollowing", () => {
    let owners: RendezvousOwners;

    before(async () => {
        owners = await RendezvousOwners.create();
    });

    /** Starts a node that hears of others in each step, from peers whose copies are current. */
    function start({ otherCount, hasWork = false, isSeed = false }: {
        otherCount: number;
        hasWork?: boolean;
        isSeed?: boolean;
    }) {
        const clock = FakeClock.create();
        const store = new CountedStore();
        const nodes = NodeTable.create("own");
        const log = RecordingEventLog.create();
        const leaseCalls: string[] = [];
        const section = RecordSection.create({ name: "s", onChange: () => undefined });
        const follower = RecordFollower.create({
            store,
            section,
            prefix: "s/",
            isStoreAnswering: () => !store.isDown,
            callStore: async () => !store.isDown,
            clock,
            random: () => 0.5,
            log,
        });
        const following = StoreFollowing.create({
            nodeId: "own",
            clock,
            nodes,
            owners,
            followers: [follower],
            lease: {
                isHeld: () => false,
                start: () => leaseCalls.push("start"),
                pause: () => leaseCalls.push("pause"),
                rest: () => leaseCalls.push("rest"),
            },
            isDraining: () => false,
            callStore: async () => !store.isDown,
            configurationMilliseconds: 4_000,
            isSeed,
            hasPlacementWork: () => hasWork,
        });
        following.start();
        const pass = async (milliseconds: number) => {
            for (let passed = 0; passed < milliseconds; passed += 50) {
                for (let index = 0; index < otherCount; index++) {
                    const heardAt = clock.getMonotonicTime();
                    nodes.note({
                        nodeId: `node-${index}`,
                        address: `10.0.0.${index}:1`,
                        dataCentre: "a",
                        isWithoutStore: false,
                        heardAt,
                    });
                }
                following.notePeerFresh(clock.getMonotonicTime());
                await clock.advance(50);
            }
        };
        return { store, following, leaseCalls, pass };
    }

    it("reads the store once at a start and leaves it to others to follow, where there are many", async () => {
        const { store, pass } = start({ otherCount: 194 });
        await pass(10_000);
        assert.equal(store.reads, 1);
        assert.ok(store.waits <= 1, `${store.waits} waits`);
    });

    it("follows the store where there are few nodes", async () => {
        const { store, following, pass } = start({ otherCount: 8 });
        await pass(3_000);
        assert.equal(following.isStoreWatcher(), true);
        assert.ok(store.waits > 1);
    });

    it("follows at once where the others' settings name it", async () => {
        const { following, pass } = start({ otherCount: 2, isSeed: true });
        await pass(300);
        assert.equal(following.isStoreWatcher(), true);
    });

    it("seeks the lease while there is an order to give, and lets it rest otherwise", async () => {
        const idle = start({ otherCount: 8 });
        await idle.pass(4_000);
        assert.equal(idle.leaseCalls.at(-1), "rest");
        assert.ok(!idle.leaseCalls.includes("start"));
        const busy = start({ otherCount: 8, hasWork: true });
        await busy.pass(4_000);
        assert.equal(busy.leaseCalls.at(-1), "start");
    });

    it("does not seek the lease while the store refuses it", async () => {
        const { store, leaseCalls, pass } = start({ otherCount: 8, hasWork: true });
        await pass(4_000);
        store.isDown = true;
        await pass(3_000);
        assert.equal(leaseCalls.at(-1), "pause");
    });
});
