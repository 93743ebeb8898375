import type { EndpointAddress } from "../../src/connection/endpoint/endpointAddress.ts";
import type { RegisteredEndpoint } from "../../src/request/relay/endpoints/registeredEndpoint.ts";
import { experimentModel } from "./experimentModel.ts";
import { experimentServiceName } from "./experimentServiceName.ts";
import type { ExperimentSettings } from "./experimentSettings.ts";
import { SimulatedEngine } from "./simulatedEngine.ts";

/** Creates the idle engines of an experiment. */
export function createEngines({ endpoints, dataCentres }: ExperimentSettings): SimulatedEngine[] {
    const engines: SimulatedEngine[] = [];
    for (const { kind, count, layers: [start, end], dataCentre } of endpoints) {
        for (let index = 0; index < count; index++) {
            const id = `${engines.length}`;
            const endpoint: RegisteredEndpoint = {
                id,
                registeredId: id,
                incarnation: 0,
                service: experimentServiceName,
                address: `10.0.0.${id}:1` as EndpointAddress,
                dataCentre: `${dataCentre ?? index % dataCentres}`,
                slots: experimentModel.slots,
                isDraining: false,
                kind,
                layers: { start, end },
            };
            engines.push(SimulatedEngine.create(endpoint, { start, end }));
        }
    }
    return engines;
}
