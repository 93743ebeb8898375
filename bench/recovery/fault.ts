import type { EngineFleet } from "./engineFleet.ts";

/** A fault that a trial brings about. */
export interface Fault {
    name: string;
    /** Gets the engines that the fault strikes, given one that carries streams. */
    getStruck(fleet: EngineFleet, engine: string): string[];
    /** Brings the fault about at one engine. */
    strike(fleet: EngineFleet, engine: string): void | Promise<void>;
    /** Makes the engine as it was. */
    repair(fleet: EngineFleet, engine: string): void | Promise<void>;
}
