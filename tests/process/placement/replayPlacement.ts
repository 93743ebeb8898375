import { assignLayers } from "../../../src/process/placement/assignLayers.ts";
import type { LayerColumn } from "../../../src/process/placement/layerColumn.ts";
import type { LayerMove } from "../../../src/process/placement/layerMove.ts";
import type { PlacementEndpoint } from "../../../src/process/placement/placementEndpoint.ts";
import type { EngineModel } from "../../../src/version/routing/engineModel.ts";
import { relayModel } from "../../request/relay/relayModel.ts";

/** Result of {@link replayPlacement}. */
interface PlacementReplay {
    /** Endpoints after the last load. */
    endpoints: PlacementEndpoint[];
    /** Moves in the order in which they were ordered. */
    moves: LayerMove[];
    /** Ids of the endpoints of all loads in the order in which they were ordered. */
    loads: string[];
    /** First data centre that held each layer, and the loads until then; undefined if none ever did. */
    first: { dataCentre: string; loads: string[]; } | undefined;
    /** Data centres that a move made incomplete while the fleet held each column. */
    broken: string[];
}

const kinds = [
    { name: "a100", memoryMegabytes: 72_000, stepFactor: 2.4, prefillFactor: 3.2 },
    { name: "v100", memoryMegabytes: 14_400, stepFactor: 5.3, prefillFactor: 2.7 },
    { name: "l4", memoryMegabytes: 21_600, stepFactor: 16, prefillFactor: 8.2 },
];

/** A model whose kinds of endpoints hold 37, 7 and 11 layers with memory for requests. */
export const replayModel: EngineModel = { ...relayModel, kinds: new Map(kinds.map(kind => [kind.name, kind])) };

/** Parses columns and their kinds, such as `a100=0-30,v100=30-36`. */
export function parseColumns(text: string): LayerColumn[] {
    return text.split(",").map(entry => {
        const [kind, start, end] = entry.split(/[=-]/u);
        return { kind: kind!, layers: { start: Number(start), end: Number(end) } };
    });
}

/** Creates endpoints of a data centre from texts such as `3 a100 0-30`; without layers if they are empty. */
export function createEndpoints(dataCentre: string, ...groups: string[]): PlacementEndpoint[] {
    return groups.flatMap((group, groupIndex) => {
        const [count, kind, range] = group.split(" ");
        const [start, end] = (range ?? "").split("-").map(Number);
        const layers = range === undefined ? undefined : { start: start!, end: end! };
        return Array.from({ length: Number(count) }, (_, index) => (
            { id: `${dataCentre}-${kind}-${groupIndex}-${index}`, dataCentre, kind: kind!, layers, isBusy: false }
        ));
    });
}

/** Checks if endpoints that have loaded their layers can form a chain in a data centre. */
export function isComplete(endpoints: readonly PlacementEndpoint[], dataCentre?: string): boolean {
    const held = endpoints.filter(endpoint =>
        !endpoint.isBusy && (dataCentre === undefined || endpoint.dataCentre === dataCentre)
    );
    const reachable = new Set([0]);
    for (const end of reachable) {
        for (const { layers } of held) {
            if (layers?.start === end) {
                reachable.add(layers.end);
            }
        }
    }
    return reachable.has(replayModel.layers);
}

/** Orders what {@link assignLayers} decides until it decides nothing more. Each load takes as long as it has layers. */
export function replayPlacement(
    columns: readonly LayerColumn[],
    initial: readonly PlacementEndpoint[],
): PlacementReplay {
    let endpoints = [...initial];
    const dataCentres = [...new Set(endpoints.map(({ dataCentre }) => dataCentre))];
    const loadsLeft = new Map<string, number>();
    const replay: PlacementReplay = { endpoints, moves: [], loads: [], first: undefined, broken: [] };
    for (;;) {
        const complete = dataCentres.find(dataCentre => isComplete(endpoints, dataCentre));
        if (complete !== undefined) {
            replay.first ??= { dataCentre: complete, loads: [...replay.loads] };
        }
        const { assignments, moves } = assignLayers(replayModel, columns, endpoints);
        const before = endpoints;
        const orders = new Map([...assignments, ...moves].map(({ endpointId, layers }) => [endpointId, layers]));
        for (const [id, { start, end }] of orders) {
            loadsLeft.set(id, end - start);
        }
        endpoints = endpoints.map(endpoint =>
            orders.has(endpoint.id) ? { ...endpoint, layers: orders.get(endpoint.id), isBusy: true } : endpoint
        );
        replay.moves.push(...moves);
        replay.loads.push(...orders.keys());
        if (isComplete(before)) {
            const isBroken = (name: string) => isComplete(before, name) && !isComplete(endpoints, name);
            replay.broken.push(...dataCentres.filter(isBroken));
        }
        if (loadsLeft.size === 0) {
            return { ...replay, endpoints };
        }
        const elapsed = Math.min(...loadsLeft.values());
        for (const [id, left] of loadsLeft) {
            loadsLeft.set(id, left - elapsed);
            if (left === elapsed) {
                loadsLeft.delete(id);
                endpoints = endpoints.map(endpoint => endpoint.id === id ? { ...endpoint, isBusy: false } : endpoint);
            }
        }
        if (replay.loads.length > 10 * initial.length) {
            throw new Error("The decisions do not settle.");
        }
    }
}
