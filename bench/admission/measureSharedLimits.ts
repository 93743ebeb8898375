import { CustomerLimits } from "../../src/request/admission/customerLimits.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createBenchConfiguration } from "./createBenchConfiguration.ts";
import { createRandom } from "./createRandom.ts";

const gossipLagMilliseconds = 500;
const gossipIntervalMilliseconds = 500;
const defaultWindowMilliseconds = 10_000;
const windowCount = 6;
const warmUpMilliseconds = 60_000;

/** Demand of one customer over all nodes. */
interface Scenario {
    name: string;
    /** Limit in requests per second. */
    limit: number;
    /** Gets the demand as a fraction of the limit. */
    getDemand: (now: number) => number;
    /** Picks the node that receives a request. */
    pickNode: (now: number, nodeCount: number, random: () => number) => number;
    /** Length of the windows. The default of 10 s is too short for low request rates. */
    windowMilliseconds?: number;
}

const pickAnyNode: Scenario["pickNode"] = (_now, nodeCount, random) => Math.floor(random() * nodeCount);
/** Sends nine tenths of the requests to one third of the nodes, which changes every 20 s, and the rest to any node. */
const pickShiftingNode: Scenario["pickNode"] = (now, nodeCount, random) => {
    const third = Math.floor(now / 20_000) % 3;
    return Math.floor((random() < 0.9 ? (third + random()) / 3 : random()) * nodeCount);
};

const scenarios: Scenario[] = [
    { name: "even, at 0.9", limit: 450, getDemand: () => 0.9, pickNode: pickAnyNode },
    { name: "even, at 2", limit: 450, getDemand: () => 2, pickNode: pickAnyNode },
    { name: "shifting, at 2", limit: 450, getDemand: () => 2, pickNode: pickShiftingNode },
    {
        name: "jump 0.5 to 4 at 80 s",
        limit: 450,
        getDemand: now => now < 80_000 ? 0.5 : 4,
        pickNode: pickAnyNode,
    },
    { name: "even, few requests, at 2", limit: 20, getDemand: () => 2, pickNode: pickAnyNode },
    { name: "even, few requests, at 0.9", limit: 20, getDemand: () => 0.9, pickNode: pickAnyNode },
    {
        name: "even, 1 per second, at 2",
        limit: 1,
        getDemand: () => 2,
        pickNode: pickAnyNode,
        windowMilliseconds: 50_000,
    },
    {
        name: "even, 1 per second, at 0.9",
        limit: 1,
        getDemand: () => 0.9,
        pickNode: pickAnyNode,
        windowMilliseconds: 50_000,
    },
    {
        name: "few requests, jump 0.5 to 4",
        limit: 20,
        getDemand: now => now < 80_000 ? 0.5 : 4,
        pickNode: pickAnyNode,
    },
];

/** How nodes exchange their demands. */
interface Exchange {
    name: string;
    nodeCount: number;
    /**
     * Number of peers to which each node sends its demand per round; undefined if one node per customer sums the
     * demands.
     */
    fanOut?: number;
}

const exchanges: Exchange[] = [
    { name: "9 nodes, each sends to all", nodeCount: 9, fanOut: 8 },
    { name: "340 nodes, each sends to 3", nodeCount: 340, fanOut: 3 },
    { name: "340 nodes, summed by one", nodeCount: 340 },
];

/** Measures how many requests all nodes together admit, compared with the limit. */
export async function measureSharedLimits(): Promise<void> {
    console.log("\nShared limits: admitted requests as a fraction of what the limit and the demand allow");
    console.log(`gossip rounds every ${gossipIntervalMilliseconds} ms, received ${gossipLagMilliseconds} ms later`);
    for (const exchange of exchanges) {
        console.log(exchange.name);
        for (const scenario of scenarios) {
            await measureScenario(scenario, exchange);
        }
    }
}

async function measureScenario(scenario: Scenario, exchange: Exchange): Promise<void> {
    const { nodeCount } = exchange;
    const clock = VirtualClock.create();
    const random = createRandom(7);
    const configuration = createBenchConfiguration({ customer: { requestsPerSecond: scenario.limit } });
    const nodes = Array.from({ length: nodeCount }, () =>
        CustomerLimits.create({
            getConfiguration: () => configuration,
            clock,
            random: createRandom(random() * 2 ** 31),
            getNodeCount: exchange.fanOut === undefined ? undefined : () => nodeCount,
        }));
    startGossip(nodes, exchange, clock, random);
    const windowMilliseconds = scenario.windowMilliseconds ?? defaultWindowMilliseconds;
    const arrived = new Array<number>(windowCount).fill(0);
    const admitted = new Array<number>(windowCount).fill(0);
    const arrive = (): void => {
        const now = clock.getMonotonicTime();
        const rate = scenario.limit * scenario.getDemand(now);
        clock.setTimer(-Math.log(1 - random()) * 1000 / rate, arrive);
        const node = nodes[scenario.pickNode(now, nodeCount, random)];
        const isAdmitted = node?.takeRequest("customer", now) === undefined;
        const window = Math.floor((now - warmUpMilliseconds) / windowMilliseconds);
        if (window >= 0 && window < windowCount) {
            arrived[window] = (arrived[window] ?? 0) + 1;
            admitted[window] = (admitted[window] ?? 0) + (isAdmitted ? 1 : 0);
        }
    };
    arrive();
    await clock.runUntil(warmUpMilliseconds + windowCount * windowMilliseconds);
    const allowed = arrived.map(count => Math.min(count, scenario.limit * windowMilliseconds / 1000));
    const ratios = admitted.map((count, index) => count / (allowed[index] ?? 1));
    console.log([
        `  ${scenario.name.padEnd(27)}`,
        `total ${(sum(admitted) / sum(allowed)).toFixed(3)}`,
        `windows of ${windowMilliseconds / 1000} s ${ratios.map(ratio => ratio.toFixed(2)).join(" ")}`,
    ].join(", "));
}

function startGossip(
    nodes: readonly CustomerLimits[],
    { fanOut }: Exchange,
    clock: VirtualClock,
    random: () => number,
): void {
    const reported = nodes.map(() => 0);
    for (const [index, node] of nodes.entries()) {
        const gossip = (): void => {
            clock.setTimer(gossipIntervalMilliseconds, gossip);
            const demands = node.getDemand();
            if (fanOut !== undefined) {
                const others = pickOthers(nodes, index, fanOut, random);
                clock.setTimer(gossipLagMilliseconds, () => {
                    for (const other of others) {
                        other.applyPeerDemand(`node${index}`, demands);
                    }
                });
                return;
            }
            reported[index] = demands[0]?.requestsPerSecond ?? 0;
            const requestsPerSecond = sum(reported) - reported[index];
            const records = [{ customer: "customer", requestsPerSecond }];
            clock.setTimer(gossipLagMilliseconds, () => node.applyPeerDemand("sum", records));
        };
        clock.setTimer(random() * gossipIntervalMilliseconds, gossip);
    }
}

function pickOthers(
    nodes: readonly CustomerLimits[],
    index: number,
    count: number,
    random: () => number,
): Set<CustomerLimits> {
    const others = new Set<CustomerLimits>();
    while (others.size < Math.min(count, nodes.length - 1)) {
        const otherIndex = Math.floor(random() * nodes.length);
        const other = nodes[otherIndex];
        if (other !== undefined && otherIndex !== index) {
            others.add(other);
        }
    }
    return others;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
