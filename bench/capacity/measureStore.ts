import { EndpointDirectory } from "../../src/connection/endpoint/endpointDirectory.ts";
import { EndpointInstructions } from "../../src/connection/instructions/endpointInstructions.ts";
import { getIntervalFactor } from "../../src/process/membership/getIntervalFactor.ts";
import { isConfigurationWatcher } from "../../src/process/membership/isConfigurationWatcher.ts";
import { MembershipView } from "../../src/process/membership/membershipView.ts";
import { RendezvousOwners } from "../../src/process/membership/rendezvousOwners.ts";
import { createVmListReader } from "../../src/process/platform/createVmListReader.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { ConfigurationFollower } from "../../src/version/configurationFollower.ts";
import { ConfigurationWatcher } from "../../src/version/configurationWatcher.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { MemoryStore } from "../../tests/support/memoryStore.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { countWireBytes } from "./countWireBytes.ts";
import { createMembers } from "./createMembers.ts";
import { createSizedConfiguration } from "./createSizedConfiguration.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";
import { startStandin } from "./startStandin.ts";

const log = { write: () => undefined };
const checkIntervalMilliseconds = 10_000;
/** Several check intervals of the largest number of nodes, which are scaled up to 378 s. */
const virtualMilliseconds = 1_500_000;
const nodeCounts = [34, 100, 340];
const listReads = 40;

/** Measures the store calls of configuration watchers over virtual time, and the cost of reading the list of VMs. */
export async function measureStore(): Promise<Slope[]> {
    const reads = [];
    const watches = [];
    for (const nodes of nodeCounts) {
        const counts = await runWatchers(nodes);
        reads.push({ x: nodes, y: counts.reads });
        watches.push({ x: nodes, y: counts.watches });
    }
    const role = "store watcher";
    const variable = "node";
    return [
        fitSlope({ id: "store.reads", role, quantity: "backstop reads, all nodes", unit: "1/s", variable }, reads),
        fitSlope(
            { id: "store.watches", role, quantity: "open watches, all nodes", unit: "watches", variable },
            watches,
        ),
        ...await measureVmList(),
    ];
}

async function runWatchers(nodes: number): Promise<{ reads: number; watches: number; }> {
    const clock = VirtualClock.create();
    const store = MemoryStore.create();
    const random = createSeededRandom(nodes);
    const owners = await RendezvousOwners.create();
    const members = createMembers(nodes);
    const view = MembershipView.create({
        nodeId: members[0]!.nodeId,
        peerAddress: "10.0.0.1:7400",
        dataCentre: "a",
        incarnation: 1,
    });
    view.applyRecords(members, 0);
    const intervalMilliseconds = checkIntervalMilliseconds * getIntervalFactor(view);
    for (const member of members) {
        const follower = ConfigurationFollower.create({ onAccepted: () => undefined });
        const watcher = ConfigurationWatcher.create({
            store,
            follower,
            clock,
            random,
            eventLog: log,
            getCheckIntervalMilliseconds: () => intervalMilliseconds,
        });
        watcher.setWatching(isConfigurationWatcher(member.nodeId, members, owners));
        watcher.start();
    }
    await clock.runUntil(intervalMilliseconds);
    const before = store.getCallCount("get");
    await clock.runUntil(intervalMilliseconds + virtualMilliseconds);
    return {
        reads: (store.getCallCount("get") - before) / virtualMilliseconds * 1_000,
        watches: store.getWatchCount(),
    };
}

async function measureVmList(): Promise<Slope[]> {
    const standin = await startStandin("standins/platform/main.ts", ["--vm-list-lag-milliseconds", "1"]);
    const processor = [];
    const bytes = [];
    const vmCount = designSize.nodes + designSize.runners;
    for (const sizeFactor of [0.25, 0.5, 1]) {
        const count = Math.round(sizeFactor * vmCount);
        await listVms(standin.address, count);
        const read = createVmListReader({ address: standin.address, timeoutMilliseconds: 5_000 });
        const { view, directory } = createListConsumers();
        const readOnce = async (): Promise<void> => {
            const records = (await read()).unwrap();
            view.applyVmList(records, 0);
            directory.observeVms(records);
        };
        await readOnce();
        const spent = await measureProcessorTime(async () => {
            for (let index = 0; index < listReads; index++) {
                await readOnce();
            }
        }, 3);
        processor.push({ x: count, y: spent / 1_000 / listReads });
        const transferredBytes = await countWireBytes(
            standin.address,
            address => createVmListReader({ address, timeoutMilliseconds: 5_000 })(),
        );
        bytes.push({ x: count, y: transferredBytes });
    }
    await standin.stop();
    const role = "VM list reader";
    const variable = "VM";
    return [
        fitSlope({ id: "vmList.read", role, quantity: "a reading", unit: "ms", variable }, processor),
        fitSlope({ id: "vmList.bytes", role, quantity: "a reading", unit: "B", variable }, bytes),
    ];
}

/** Adds VMs to the stand-in's list, with nodes and runners in the proportions of the design size. */
async function listVms(address: string, count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
        const isNode = index % Math.ceil((designSize.nodes + designSize.runners) / designSize.nodes) === 0;
        const name = isNode ? `entry-${index}` : `runner-${index}`;
        await fetch(`http://${address}/standin/vms/${name}`, {
            method: "PUT",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({
                vm: name,
                state: "live",
                role: isNode ? "node" : "endpoint",
                address: `10.${index % 10}.${Math.floor(index / 200)}.${1 + index % 200}:8000`,
                dataCentre: `data-centre-${index % 10}`,
            }),
        });
    }
}

/** Creates the objects that a read list is applied to: a view of all nodes and a directory of all runners. */
function createListConsumers() {
    const view = MembershipView.create({
        nodeId: "entry-0",
        peerAddress: "10.0.0.1:7400",
        dataCentre: "a",
        incarnation: 1,
    });
    view.applyRecords(createMembers(designSize.nodes), 0);
    const directory = EndpointDirectory.create({
        clock: systemClock,
        instructions: EndpointInstructions.create({ clock: systemClock, log: { write: () => undefined } }),
        onAnswered: () => undefined,
        onSilentConnection: () => undefined,
        onStateChanged: () => undefined,
    });
    const text = JSON.stringify(createSizedConfiguration({ ...designSize, customers: 0 }));
    directory.update(parseConfiguration(text).unwrap());
    return { view, directory };
}
