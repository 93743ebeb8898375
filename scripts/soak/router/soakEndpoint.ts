import { setTimeout as sleep } from "node:timers/promises";
import { LoopbackProxy } from "../../../standins/network/loopbackProxy.ts";
import { createEndpointRecord } from "../../../standins/router/createEndpointRecord.ts";
import type { EndpointBehaviour } from "../../../standins/router/endpointBehaviour.ts";
import { EndpointStandin } from "../../../standins/router/endpointStandin.ts";
import type { KeyValueStandin } from "../../../standins/router/keyValueStandin.ts";
import type { RunRecord } from "../../../standins/router/runRecord.ts";
import { eventsOfStream } from "./eventsOfStream.ts";
import { harmfulBody } from "./harmfulBody.ts";

/** Options of a {@link SoakEndpoint}. */
interface SoakEndpointOptions {
    name: string;
    store: KeyValueStandin;
    /** Whether it holds layers of the model; it starts without any. */
    isStage: boolean;
}

/** A run, and the start of the endpoint that ran it. */
interface SoakRun extends RunRecord {
    endpointId: string;
}

/** A stay of an endpoint at an address, from a start to its end. */
interface EndpointStart {
    standin: EndpointStandin;
    id: string;
    /** host:port, also after its end. */
    address: string;
    /** Wall-clock time in milliseconds from which it has told the store that it leaves. */
    leavingSince: number | undefined;
}

const eventMilliseconds = 30;
/** A record outlives its endpoint by three heartbeats. */
const recordMilliseconds = 3_600;
/** Requests that an endpoint runs at the same time. */
const slots = 40;

/** An endpoint behind a proxy, over all its starts. */
export class SoakEndpoint {
    readonly name: string;
    readonly proxy: LoopbackProxy;
    isTaken = false;
    private isRestarting = false;
    private readonly options: SoakEndpointOptions;
    private readonly starts: EndpointStart[];

    private constructor(options: SoakEndpointOptions, proxy: LoopbackProxy, starts: EndpointStart[]) {
        this.options = options;
        this.name = options.name;
        this.proxy = proxy;
        this.starts = starts;
    }

    /** Starts an endpoint and registers it. */
    static async create(options: SoakEndpointOptions): Promise<SoakEndpoint> {
        const starts: EndpointStart[] = [];
        const proxy = await LoopbackProxy.create(() => starts.at(-1)!.address);
        const endpoint = new SoakEndpoint(options, proxy, starts);
        await endpoint.start();
        return endpoint;
    }

    /** Whether it holds layers of the model. */
    isStage(): boolean {
        return this.options.isStage;
    }

    /** Whether it holds layers that requests can pass. */
    hasLayers(): boolean {
        return this.getLast().standin.layers !== undefined;
    }

    /** Starts anew under another id, without layers. */
    async start(): Promise<void> {
        const id = `${this.name}-${this.starts.length}`;
        const standin = await EndpointStandin.create({
            id,
            events: eventsOfStream,
            eventMilliseconds,
            onLayers: () => this.register(),
            onEnded: () => void this.restart(),
        });
        standin.behaviour = { endsOnBody: harmfulBody };
        this.starts.push({ standin, id, address: standin.getAddress(), leavingSince: undefined });
        this.proxy.resetAll();
        this.register();
    }

    /** Changes how it answers. */
    setBehaviour(behaviour: EndpointBehaviour): void {
        this.getLast().standin.behaviour = { endsOnBody: harmfulBody, ...behaviour };
    }

    /** Tells the store that it leaves, and goes on serving. */
    startLeaving(): void {
        this.getLast().leavingSince = Date.now();
        this.register("draining");
    }

    /** Starts again some time after it has ended, whatever ended it. */
    async restart(): Promise<void> {
        const ended = this.getLast();
        await sleep(recordMilliseconds);
        if (ended === this.getLast() && !this.isRestarting) {
            this.isRestarting = true;
            this.unregister();
            await this.start();
            this.isRestarting = false;
        }
    }

    /** Ends as a crash does: its record stays until {@link SoakEndpoint.unregister}. */
    async crash(): Promise<void> {
        await this.getLast().standin.close();
    }

    /** Removes its record, as the platform does after missed heartbeats. */
    unregister(): void {
        this.options.store.remove(`servers/${this.getLast().id}`);
    }

    /** Gets what all starts have run. */
    getRuns(): SoakRun[] {
        return this.starts.flatMap(({ standin, id }) => standin.runs.map(run => ({ ...run, endpointId: id })));
    }

    /** Gets when a start told the store that it leaves. */
    getLeavingSince(endpointId: string): number | undefined {
        return this.starts.find(({ id }) => id === endpointId)?.leavingSince;
    }

    /** Stops. */
    async close(): Promise<void> {
        await this.getLast().standin.close();
        await this.proxy.close();
    }

    private getLast(): EndpointStart {
        return this.starts.at(-1)!;
    }

    private register(state?: string): void {
        const { id, standin } = this.getLast();
        const service = this.isStage() ? "model" : "documents";
        const layers = this.isStage() ? standin.layers ?? null : undefined;
        this.options.store.put(
            `servers/${id}`,
            createEndpointRecord({ service, address: this.proxy.getAddress(), state, slots, layers }),
        );
    }
}
