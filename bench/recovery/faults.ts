import type { EngineFleet } from "./engineFleet.ts";
import type { Fault } from "./fault.ts";

const slowFactor = 10;

const getSingleEngine = (_fleet: EngineFleet, engine: string) => [engine];
const restart = (fleet: EngineFleet, engine: string) => fleet.restart(engine);

/** Faults of engines and of the connections to them, in order of decreasing frequency. */
export const faults: readonly Fault[] = [
    {
        name: "stage dies",
        getAffectedEngines: getSingleEngine,
        inject: (fleet, engine) => fleet.signal(engine, "SIGKILL"),
        repair: restart,
    },
    {
        name: "stage freezes",
        getAffectedEngines: getSingleEngine,
        inject: (fleet, engine) => fleet.signal(engine, "SIGSTOP"),
        repair: restart,
    },
    {
        name: "connections go silent",
        getAffectedEngines: getSingleEngine,
        inject: (fleet, engine) => fleet.setFaults(engine, { freezeExistingConnections: true }),
        repair: restart,
    },
    {
        name: "stage slows tenfold",
        getAffectedEngines: getSingleEngine,
        inject: (fleet, engine) => fleet.setFaults(engine, { slowFactor }),
        repair: (fleet, engine) => fleet.setFaults(engine, { slowFactor: 1 }),
    },
    {
        name: "data centre dies",
        getAffectedEngines: (fleet, engine) =>
            fleet.getNames().filter(name => fleet.getDataCentre(name) === fleet.getDataCentre(engine)),
        inject: (fleet, engine) => fleet.signal(engine, "SIGKILL"),
        repair: restart,
    },
    {
        name: "data centre freezes",
        getAffectedEngines: (fleet, engine) =>
            fleet.getNames().filter(name => fleet.getDataCentre(name) === fleet.getDataCentre(engine)),
        inject: (fleet, engine) => fleet.signal(engine, "SIGSTOP"),
        repair: restart,
    },
];
