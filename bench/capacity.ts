/**
 * Measures the cost of each role at several sizes and extrapolates the totals to the design size.
 *
 * Usage: `npm run bench:capacity -- [--json] [PART...]`. `--json` prints everything as JSON. If parts are named, only
 * those run and no totals are computed.
 */
import { cpus, loadavg } from "node:os";
import { computeTotals } from "./capacity/computeTotals.ts";
import { measureChains } from "./capacity/measureChains.ts";
import { measureClaims } from "./capacity/measureClaims.ts";
import { measureConfiguration } from "./capacity/measureConfiguration.ts";
import { measureCustomers } from "./capacity/measureCustomers.ts";
import { measureDataPath } from "./capacity/measureDataPath.ts";
import { measureIdleNode } from "./capacity/measureIdleNode.ts";
import type { Measurements } from "./capacity/measurements.ts";
import { measureObservation } from "./capacity/measureObservation.ts";
import { measureOrders } from "./capacity/measureOrders.ts";
import { measurePeers } from "./capacity/measurePeers.ts";
import { measureReportPropagation } from "./capacity/measureReportPropagation.ts";
import { measureStatus } from "./capacity/measureStatus.ts";
import { measureStore } from "./capacity/measureStore.ts";
import { measureTakeover } from "./capacity/measureTakeover.ts";
import { printMeasurements } from "./capacity/printMeasurements.ts";

process.chdir(new URL("..", import.meta.url).pathname);
const measurements: Measurements = { slopes: [] };
const parts: Record<string, () => Promise<void>> = {
    // Runs first, since it measures the memory of connections by the growth of this process.
    peers: async () => {
        const { slopes, figures } = await measurePeers();
        measurements.slopes.push(...slopes);
        measurements.peers = figures;
    },
    path: async () => {
        const { slopes, figures } = await measureDataPath();
        measurements.slopes.push(...slopes);
        measurements.path = figures;
    },
    claims: async () => void measurements.slopes.push(...await measureClaims()),
    takeover: async () => void measurements.slopes.push(...await measureTakeover()),
    store: async () => void measurements.slopes.push(...await measureStore()),
    observation: async () => void measurements.slopes.push(...await measureObservation()),
    reports: async () => {
        measurements.reports = await Promise.resolve(measureReportPropagation());
    },
    orders: async () => void measurements.slopes.push(...await measureOrders()),
    status: async () => void measurements.slopes.push(...await measureStatus()),
    configuration: async () => void measurements.slopes.push(...await measureConfiguration()),
    customers: async () => void measurements.slopes.push(...await measureCustomers()),
    chains: async () => void measurements.slopes.push(...await measureChains()),
    node: async () => {
        measurements.idleNodes = await measureIdleNode();
    },
};
const selectedParts = process.argv.slice(2).filter(argument => !argument.startsWith("--"));
const partSeconds: Record<string, number> = {};
const loadBefore = loadavg()[0] ?? 0;
for (const [name, measure] of Object.entries(parts)) {
    if (selectedParts.length === 0 || selectedParts.includes(name)) {
        const startedAt = performance.now();
        await measure();
        partSeconds[name] = Math.round((performance.now() - startedAt) / 100) / 10;
    }
}
const machine = {
    cores: cpus().length,
    loadBefore,
    loadAfter: loadavg()[0] ?? 0,
    node: process.version,
    seconds: partSeconds,
};
const totals = selectedParts.length === 0 ? computeTotals(measurements) : [];
if (process.argv.includes("--json")) {
    console.log(JSON.stringify({ machine, ...measurements, totals }, undefined, 2));
}
else {
    printMeasurements(measurements, totals);
    console.log(`\nMachine: ${JSON.stringify(machine)}`);
}
