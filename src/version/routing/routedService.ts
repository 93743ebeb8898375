import type { EngineModel } from "./engineModel.ts";

/** A service that requests are routed to. */
export interface RoutedService {
    name: string;
    /** Maximum number of connections to one endpoint from all nodes together. */
    maximumConnections: number;
    /** Performance model of the engines. Undefined for a document service. */
    engine: EngineModel | undefined;
}
