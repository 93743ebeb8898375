/**
 * Measures how long an accepted configuration takes to become active on all nodes: the time from the store's response to
 * the compare-and-swap until the last node reports the version. Each node is a separate process.
 */
import { build } from "hdr-histogram-js";
import { request } from "undici";
import { LocalDeployment } from "../scripts/deployment/localDeployment.ts";
import { EtcdStore } from "../src/process/platform/etcdStore.ts";
import { systemClock } from "../src/process/systemClock.ts";
import { applyConfiguration } from "../src/version/applyConfiguration.ts";

/** Times until a configuration is active on all nodes, in milliseconds. */
interface ActivationTimes {
    nodes: number;
    changes: number;
    median: number;
    percentile99: number;
    worst: number;
}

const changes = 20;
const pollMilliseconds = 5;

process.chdir(new URL("..", import.meta.url).pathname);
const figures: ActivationTimes[] = [];
for (const nodes of [3, 9, 24]) {
    figures.push(await measure(nodes));
}
console.table(figures);

async function measure(nodes: number): Promise<ActivationTimes> {
    const deployment = await LocalDeployment.create({ nodes, engines: [], documents: 0, isBuilt: false });
    const store = EtcdStore.create({ address: deployment.platform.address, timeoutMilliseconds: 2_000 });
    const histogram = build();
    try {
        for (let version = 1; version <= changes; version += 1) {
            const text = JSON.stringify({ dataCentres: { [`centre-${version}`]: { region: "south" } } });
            const applied = await applyConfiguration({
                store,
                clock: systemClock,
                random: Math.random,
                text,
                expectedVersion: version - 1,
                editId: `edit-${version}`,
                author: "bench",
            });
            if (!applied.ok) {
                throw new Error(applied.val.message);
            }
            const acceptedAt = performance.now();
            await Promise.all(deployment.nodes.map(node => waitForVersion(node.adminAddress, version)));
            histogram.recordValue(Math.max(1, Math.round(performance.now() - acceptedAt)));
        }
    }
    finally {
        await store.close();
        await deployment.stop();
    }
    return {
        nodes,
        changes,
        median: histogram.getValueAtPercentile(50),
        percentile99: histogram.getValueAtPercentile(99),
        worst: histogram.maxValue,
    };
}

async function waitForVersion(adminAddress: string, version: number): Promise<void> {
    for (;;) {
        const response = await request(`http://${adminAddress}/status`);
        const status = await response.body.json() as { configurationVersion: number; };
        if (status.configurationVersion >= version) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
}
