import { createEndpointRecord } from "../../../standins/router/createEndpointRecord.ts";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultKind } from "../faultKind.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Addresses to which no connection can be opened. The last one has a byte that is not valid UTF-8. */
const addresses = ["127.0.0.1:99999", "127.0.0.1:0", "999.1.1.1:8080", "a%20b:8080", "127.0.0.\xff:8080"];
const services = ["documents", "model"];
let recordCount = 0;

/** Another program writes the record of an endpoint that no client can use. It explains neither an ended process nor a lost request. */
export const unusableRecord: FaultKind<RouterSoakContext> = createFaultKind({
    weight: 2,
    durationMilliseconds: [500, 4_000],
    take: ({ random }) => {
        recordCount += 1;
        const service = random.choose(services)!;
        const address = random.choose(addresses)!;
        const record = createEndpointRecord({ service, address, layers: service === "model" ? null : undefined });
        return { key: `servers/other-${recordCount}`, value: Buffer.from(JSON.stringify(record), "latin1") };
    },
    getName: ({ key }) => key,
    inject: ({ deployment }, { key, value }) => deployment.store.putBytes(key, value),
    revert: ({ deployment }, { key }) => deployment.store.remove(key),
    release: () => undefined,
});
