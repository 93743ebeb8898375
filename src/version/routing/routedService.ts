import type { EngineModel } from "./engineModel.ts";

/** A service that requests go to. */
export interface RoutedService {
    name: string;
    /** Connections that one endpoint takes from all nodes together. */
    maximumConnections: number;
    /** Figures of the model's engines; undefined for a document service. */
    engine: EngineModel | undefined;
}
