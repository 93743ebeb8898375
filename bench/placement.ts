/**
 * Measures how long the decision which endpoint holds which layers takes at the design size: 1,200 endpoints of three kinds in
 * 10 data centres, one of which can hold the larger columns only in parts. Prints one line of JSON for each state of the
 * fleet; times are in milliseconds.
 */
import yargs from "yargs";
import { assignLayers } from "../src/process/placement/assignLayers.ts";
import type { LayerColumn } from "../src/process/placement/layerColumn.ts";
import type { PlacementEndpoint } from "../src/process/placement/placementEndpoint.ts";
import { experimentModel } from "./experiment/experimentModel.ts";

const { repetitions } = yargs(process.argv.slice(2))
    .option("repetitions", { type: "number", default: 20, description: "Number of decisions for each state." })
    .strict()
    .parseSync();

const dataCentreCount = 10;
const kindCounts = { fast: 20, middle: 60, slow: 40 };
const columns: LayerColumn[] = [
    { layers: { start: 0, end: 26 }, kind: "fast" },
    { layers: { start: 26, end: 44 }, kind: "middle" },
    { layers: { start: 44, end: 62 }, kind: "middle" },
    { layers: { start: 62, end: 71 }, kind: "slow" },
    { layers: { start: 71, end: 80 }, kind: "slow" },
];
/** Every fifth endpoint is lost or empty in the states with faults. */
const faultInterval = 5;

function createEmptyFleet(): PlacementEndpoint[] {
    return Array.from({ length: dataCentreCount }, (_, index) => `dc${index}`).flatMap(dataCentre =>
        Object.entries(kindCounts).flatMap(([kind, count]) =>
            Array.from({ length: count }, (_, index) => ({
                id: `${dataCentre}-${kind}-${index}`,
                dataCentre,
                // The endpoints of the first data centre are too small for the columns of the other kinds.
                kind: dataCentre === "dc0" ? "slow" : kind,
                layers: undefined,
                isBusy: false,
            }))
        )
    );
}

const empty = createEmptyFleet();
const assigned = new Map(
    assignLayers(experimentModel, columns, empty).assignments.map(({ endpointId, layers }) => [endpointId, layers]),
);
const atRest = empty.map(endpoint => ({ ...endpoint, layers: assigned.get(endpoint.id) }));
const states: Record<string, PlacementEndpoint[]> = {
    empty,
    atRest,
    fifthLost: atRest.filter((_, index) => index % faultInterval !== 0),
    fifthEmpty: atRest.map((endpoint, index) =>
        index % faultInterval === 0 ? { ...endpoint, layers: undefined } : endpoint
    ),
};
for (const [state, endpoints] of Object.entries(states)) {
    const times = Array.from({ length: repetitions }, () => {
        const startedAt = performance.now();
        assignLayers(experimentModel, columns, endpoints);
        return performance.now() - startedAt;
    }).sort((left, right) => left - right);
    const round = (time: number) => Math.round(time * 100) / 100;
    const median = round(times[Math.floor(times.length / 2)]!);
    console.log(JSON.stringify({ state, endpoints: endpoints.length, median, longest: round(times.at(-1)!) }));
}
