import { computeFlowBound } from "../../src/request/chain/flow/computeFlowBound.ts";
import type { FlowBound } from "../../src/request/chain/flow/flowBound.ts";
import { LayeredGraph } from "../../src/request/chain/layeredGraph.ts";
import { LinkTable } from "../../src/request/chain/linkTable.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { EngineStandin } from "./engineStandin.ts";
import type { Fleet } from "./fleet.ts";

/**
 * Computes the throughput bound of a fleet by a maximum flow over the engines' actual speeds, with nodes spread evenly
 * over the data centres.
 */
export function computeFleetBound({ configuration, speeds }: Fleet): FlowBound {
    const clock = VirtualClock.create();
    const endpoints = Object.entries(configuration.endpoints);
    return computeFlowBound({
        models: Object.entries(configuration.models).map(([name, { layers, hiddenBytes }]) => ({
            name,
            hiddenBytes,
            demand: 1,
            graph: LayeredGraph.create(
                layers,
                endpoints.flatMap(([endpoint, endpointConfiguration]) =>
                    endpointConfiguration.layers.filter(range => range.model === name).map(({ start, end }) => ({
                        endpoint,
                        start,
                        end,
                    }))
                ),
            ),
        })),
        endpoints: new Map(endpoints.map(([name, { dataCentre, layers }]) => {
            const speed = speeds.get(name);
            const heldLayers = layers.reduce((sum, range) => sum + range.end - range.start, 0);
            const rate = speed === undefined ? 0 : EngineStandin.create(clock, speed, heldLayers).getRate();
            return [name, { dataCentre, rate }];
        })),
        links: LinkTable.create(configuration),
        nodeShares: new Map(Object.keys(configuration.dataCentres).map(name => [name, 1])),
    });
}
