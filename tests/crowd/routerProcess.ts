import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { createBundle } from "../../scripts/executable/createBundle.ts";
import { executableFlags } from "../../scripts/executable/executableFlags.ts";
import { createBootFile } from "../../standins/router/createBootFile.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { createPatientConfiguration } from "../../standins/router/createPatientConfiguration.ts";
import { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";
import { crowdLimits } from "./crowdLimits.ts";
import { sendOrdinary } from "./sendOrdinary.ts";

const startMilliseconds = 30_000;
const pollMilliseconds = 50;
const bytesPerKibibyte = 1024;

/** One process of `foxlead platform` with stand-ins for its store and its endpoints, and with lowered limits. */
export class RouterProcess {
    readonly documents: EndpointStandin;
    readonly model: EndpointStandin;
    private readonly store: KeyValueStandin;
    private readonly folder: string;
    private readonly child: ChildProcess;
    private readonly ports: number[];
    private output = "";

    private constructor(
        store: KeyValueStandin,
        [documents, model]: [EndpointStandin, EndpointStandin],
        folder: string,
        ports: number[],
    ) {
        this.store = store;
        this.documents = documents;
        this.model = model;
        this.folder = folder;
        this.ports = ports;
        const program = [join(folder, "platform.cjs"), "platform", "--settings", join(folder, "node.yaml")];
        this.child = spawn(process.execPath, [...executableFlags, ...program], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.child.stdout!.on("data", (chunk: Buffer) => this.output += chunk.toString("utf8"));
    }

    /** Builds the program into a temporary folder and starts it. */
    static async create(): Promise<RouterProcess> {
        const folder = mkdtempSync(join(tmpdir(), "foxlead-crowd-"));
        await createBundle({ entry: "platform/main.ts", file: join(folder, "platform.cjs"), hasRequest: false });
        const store = await KeyValueStandin.create();
        const documents = await EndpointStandin.create({ id: "documents" });
        const model = await EndpointStandin.create({ id: "model", layers: { from: 0, to: 8 } });
        putRecords(store, documents, model);
        const ports = await findFreePorts(5);
        writeFileSync(join(folder, "node.yaml"), createSettings(ports, store));
        const router = new RouterProcess(store, [documents, model], folder, ports);
        await router.waitUntilReady();
        return router;
    }

    /** Port of the listener for callers. */
    get port(): number {
        return this.ports[0]!;
    }

    /** Gets the memory that the process used at most, in bytes. */
    getPeakMemory(): number {
        const [, kibibytes] = /^VmHWM:\s+(\d+) kB$/m.exec(this.readProcessFile("status")) ?? [];
        return Number(kibibytes) * bytesPerKibibyte;
    }

    /** Gets the number of open file descriptors of the process. */
    getDescriptorCount(): number {
        return readdirSync(`/proc/${this.child.pid}/fd`).length;
    }

    /** Checks if the process is running. */
    isAlive(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Sends ordinary requests, one after the other, until one is answered. */
    async waitForAnswer(path: string): Promise<void> {
        while (!await sendOrdinary(this.port, path)) {
            if (!this.isAlive()) {
                throw new Error(`The program has ended. Its last lines are: ${this.output.slice(-2_000)}`);
            }
            await wait(pollMilliseconds);
        }
    }

    /** Ends the program and the stand-ins. */
    async close(): Promise<void> {
        if (this.isAlive()) {
            this.child.kill("SIGKILL");
            await once(this.child, "exit");
        }
        await this.documents.close();
        await this.model.close();
        await this.store.close();
        rmSync(this.folder, { recursive: true });
    }

    /** Opens a connection of a caller. */
    connect(): Promise<RawCaller> {
        return RawCaller.connect(`127.0.0.1:${this.port}`);
    }

    private readProcessFile(name: string): string {
        return readFileSync(`/proc/${this.child.pid}/${name}`, "utf8");
    }

    private async waitUntilReady(): Promise<void> {
        for (let waited = 0; waited < startMilliseconds; waited += pollMilliseconds) {
            const response = await fetch(`http://127.0.0.1:${this.ports[1]}/v1/readiness`).catch(() => undefined);
            if (response?.status === 200) {
                await this.waitForAnswer("/safe/x");
                await this.waitForAnswer("/model/x");
                return;
            }
            await wait(pollMilliseconds);
        }
        throw new Error(`The program was not ready in time: ${this.output}`);
    }
}

function putRecords(store: KeyValueStandin, documents: EndpointStandin, model: EndpointStandin): void {
    const { bodyBytes } = crowdLimits;
    const limits = {
        max_header_bytes: 16_384,
        max_body_bytes: bodyBytes,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    store.put("op/config", createPatientConfiguration(1, { limits }));
    const layers = { from: 0, to: 8 };
    store.put("servers/documents", createEndpointRecord({ service: "documents", address: documents.getAddress() }));
    store.put("servers/model", createEndpointRecord({ service: "model", address: model.getAddress(), layers }));
}

function createSettings(ports: readonly number[], store: KeyValueStandin): string {
    const [callers, readiness, peers, admin, tunnels] = ports as [number, number, number, number, number];
    return createBootFile({
        vm: "edge-1",
        dataCentre: "a",
        callers,
        readiness,
        peers,
        admin,
        tunnels,
        seeds: [],
        store: store.getAddress(),
        memoryMegabytes: crowdLimits.memoryMegabytes,
        descriptors: crowdLimits.descriptors,
    });
}
