import { request } from "undici";
import { ChildProcess } from "../../scripts/deployment/childProcess.ts";
import { EndpointAddress } from "../../src/connection/endpoint/endpointAddress.ts";
import type { Configuration, EndpointConfiguration } from "../../src/version/configuration.ts";

/** A stand-in engine that runs in its own process. */
interface FleetEngine {
    name: string;
    dataCentre: string;
    layerStart: number;
    layerEnd: number;
    stepMillisecondsPerLayer: number;
    address: EndpointAddress;
    process: ChildProcess;
}

const layersPerStage = 8;
const stepBaseMilliseconds = 3;
const prefillMillisecondsPerPosition = 0.2;
/** Step time of one layer by data centre. A token takes about 20 ms plus queueing. */
const stepMillisecondsByDataCentre: Readonly<Record<string, number>> = {
    "centre-a": 0.3,
    "centre-b": 0.4,
    "centre-c": 0.5,
};

/** Nine engines in three data centres. The engines of each data centre hold the whole model in three stages. */
export class EngineFleet {
    readonly model = "assistant-24";
    readonly layers = 24;
    private readonly engines = new Map<string, FleetEngine>();

    private constructor() {}

    /** Starts all engines and waits until they listen. */
    static async create(): Promise<EngineFleet> {
        const fleet = new EngineFleet();
        const starts: Promise<void>[] = [];
        for (const [dataCentre, stepMillisecondsPerLayer] of Object.entries(stepMillisecondsByDataCentre)) {
            for (let layerStart = 0; layerStart < fleet.layers; layerStart += layersPerStage) {
                const name = `${dataCentre}-${layerStart}`;
                const layerEnd = layerStart + layersPerStage;
                starts.push(fleet.start({ name, dataCentre, layerStart, layerEnd, stepMillisecondsPerLayer }, 0));
            }
        }
        await Promise.all(starts);
        return fleet;
    }

    getNames(): string[] {
        return [...this.engines.keys()];
    }

    getDataCentre(name: string): string {
        return this.engines.get(name)!.dataCentre;
    }

    /** Creates a configuration with these engines. */
    createConfiguration(): Configuration {
        const endpoints: Record<string, EndpointConfiguration> = {};
        for (const engine of this.engines.values()) {
            endpoints[engine.name] = {
                kind: "engine",
                address: engine.address,
                dataCentre: engine.dataCentre,
                accelerator: engine.dataCentre,
                layers: [{ model: this.model, start: engine.layerStart, end: engine.layerEnd }],
                checksFencing: true,
                maximumSequences: 256,
            };
        }
        const dataCentres = Object.fromEntries(
            Object.keys(stepMillisecondsByDataCentre).map(name => [name, { region: "south" }]),
        );
        return {
            models: { [this.model]: { layers: this.layers, hiddenBytes: 8_192 } },
            services: {},
            endpoints,
            dataCentres,
            links: [],
            customers: {},
            limits: {
                maximumBodyBytes: 1,
                maximumTokens: 1,
                maximumQueueMilliseconds: 1,
                maximumQueuedRequests: 1,
            },
            claims: { shards: 1, windowMilliseconds: 1, appendIntervalMilliseconds: 1 },
        };
    }

    /** Sends a signal to the process of an engine. */
    signal(name: string, signal: NodeJS.Signals): void {
        this.engines.get(name)!.process.signal(signal);
    }

    /** Sets the faults that a stand-in engine simulates. */
    async setFaults(name: string, faults: object): Promise<void> {
        const response = await request(`http://${this.engines.get(name)!.address}/standin/faults`, {
            method: "POST",
            body: JSON.stringify(faults),
            headers: { "content-type": "application/json", connection: "close" },
        });
        await response.body.dump();
    }

    /** Gets the number of passes that engines received more than once, over all engines. */
    async countRepeatedPasses(): Promise<number> {
        let repeated = 0;
        for (const engine of this.engines.values()) {
            const response = await request(`http://${engine.address}/standin/record/summary`, {
                headers: { connection: "close" },
            });
            const summary = await response.body.json() as { repeatedPasses: number; };
            repeated += summary.repeatedPasses;
        }
        return repeated;
    }

    /** Kills an engine, even if it is frozen, and restarts it on the same port. */
    async restart(name: string): Promise<void> {
        const engine = this.engines.get(name)!;
        engine.process.signal("SIGKILL");
        await engine.process.exited;
        await this.start(engine, Number(engine.address.split(":")[1]));
    }

    /** Kills all engines. */
    async stop(): Promise<void> {
        const processes = [...this.engines.values()].map(engine => engine.process);
        for (const process of processes) {
            process.signal("SIGKILL");
        }
        await Promise.all(processes.map(process => process.exited));
    }

    private async start(engine: Omit<FleetEngine, "address" | "process">, port: number): Promise<void> {
        const { name, layerStart, layerEnd, stepMillisecondsPerLayer } = engine;
        const process = ChildProcess.create({
            name,
            command: globalThis.process.execPath,
            options: [
                ...["--disable-warning=ExperimentalWarning", "standins/engine/main.ts"],
                ...["--name", name, "--port", String(port)],
                ...["--layers", `${this.model}:${layerStart}-${layerEnd}`],
                ...["--model-layers", `${this.model}:${this.layers}`],
                ...["--maximum-sequences", "256"],
                ...["--step-milliseconds-per-layer", String(stepMillisecondsPerLayer)],
                ...["--step-base-milliseconds", String(stepBaseMilliseconds)],
                ...["--prefill-milliseconds-per-position", String(prefillMillisecondsPerPosition)],
            ],
        });
        const [, address] = await process.waitForLine(/ready on (127\.0\.0\.1:\d+)/);
        this.engines.set(name, { ...engine, address: EndpointAddress.parse(address!).unwrap(), process });
    }
}
