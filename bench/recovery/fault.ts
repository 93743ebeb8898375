import type { EngineFleet } from "./engineFleet.ts";

/** A fault that a trial injects. */
export interface Fault {
    name: string;
    /** Gets the engines that the fault affects, given an engine that carries streams. */
    getAffectedEngines(fleet: EngineFleet, engine: string): string[];
    /** Injects the fault at an engine. */
    inject(fleet: EngineFleet, engine: string): void | Promise<void>;
    /** Restores an engine after the fault. */
    repair(fleet: EngineFleet, engine: string): void | Promise<void>;
}
