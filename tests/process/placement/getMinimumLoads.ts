import { isUseful } from "../../../src/process/placement/isUseful.ts";
import type { LayerColumn } from "../../../src/process/placement/layerColumn.ts";
import type { PlacementEndpoint } from "../../../src/process/placement/placementEndpoint.ts";
import type { HeldLayers } from "../../../src/request/relay/endpoints/heldLayers.ts";
import { replayModel } from "./replayPlacement.ts";

/**
 * Gets the least number of loads after which endpoints of one data centre hold all columns, each whole or in two or three
 * parts; infinite if they can't. Tries all combinations, as a reference for the decisions under test.
 */
export function getMinimumLoads(
    endpoints: readonly PlacementEndpoint[],
    columns: readonly LayerColumn[],
    limit = Infinity,
): number {
    const [column, ...rest] = columns;
    if (column === undefined) {
        return 0;
    }
    let best = limit;
    for (const ranges of [1, 2, 3].map(count => split(column.layers, count))) {
        for (const { loads, left } of enumerateHolders(endpoints, ranges)) {
            if (loads < best) {
                best = Math.min(best, loads + getMinimumLoads(left, rest, best - loads));
            }
        }
    }
    return best;
}

/** Enumerates the choices of endpoints for ranges, with the endpoints left; endpoints that are alike only once. */
function* enumerateHolders(
    endpoints: readonly PlacementEndpoint[],
    [range, ...rest]: readonly HeldLayers[],
): Generator<{ loads: number; left: readonly PlacementEndpoint[]; }> {
    if (range === undefined) {
        yield { loads: 0, left: endpoints };
        return;
    }
    const tried = new Set<string>();
    for (const endpoint of endpoints) {
        const { kind, layers } = endpoint;
        const description = `${kind} ${layers?.start} ${layers?.end}`;
        if (tried.has(description) || !isUseful(replayModel, range, endpoint)) {
            continue;
        }
        tried.add(description);
        const load = layers?.start === range.start && layers.end === range.end ? 0 : 1;
        for (const { loads, left } of enumerateHolders(endpoints.filter(other => other !== endpoint), rest)) {
            yield { loads: loads + load, left };
        }
    }
}

function split({ start, end }: HeldLayers, count: number): HeldLayers[] {
    const bounds = Array.from({ length: count + 1 }, (_, index) => start + Math.round(index * (end - start) / count));
    return bounds.slice(1).map((bound, index) => ({ start: bounds[index]!, end: bound }));
}
