import type { EndpointConnector } from "./endpointConnector.ts";

/** What connections to endpoints need of the {@link EndpointConnector}. */
export type PathConnector = Pick<EndpointConnector, "open" | "test" | "isLost" | "isUsable" | "hasPeer">;
