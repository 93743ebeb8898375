import { setTimeout as sleep } from "node:timers/promises";
import { LoopbackProxy } from "../../../standins/network/loopbackProxy.ts";
import type { EndpointBehaviour } from "../../../standins/router/endpointBehaviour.ts";
import { EndpointStandin } from "../../../standins/router/endpointStandin.ts";
import type { KeyValueStandin } from "../../../standins/router/keyValueStandin.ts";
import { findFreePorts } from "../../deployment/findFreePorts.ts";
import { EndpointHistory } from "./endpointHistory.ts";
import type { EndpointIncarnation } from "./endpointIncarnation.ts";
import { EndpointRegistration } from "./endpointRegistration.ts";
import { eventsPerStream } from "./eventsPerStream.ts";
import { harmfulBody } from "./harmfulBody.ts";
import { lateHarmfulBody } from "./lateHarmfulBody.ts";
import { RecordChange } from "./recordChange.ts";

/** Options of {@link SoakEndpoint}. */
interface SoakEndpointOptions {
    name: string;
    store: KeyValueStandin;
    service: string;
    /** Whether the endpoint serves layers of a model; it starts without any. */
    isStage: boolean;
    dataCentre: string;
}

/** Where a proxy leads to; undefined only until the endpoint is created. */
interface ProxyTarget {
    endpoint: SoakEndpoint | undefined;
}

const eventMilliseconds = 30;
/** Time from the beginning of an answer to the crash, less than the answer takes. */
const lateCrashMilliseconds = 400;
/** Maximum of concurrent requests per endpoint. */
const slots = 40;

/** An endpoint behind a proxy. Each start creates a new incarnation with its own id. */
export class SoakEndpoint {
    readonly name: string;
    proxy: LoopbackProxy;
    isTaken = false;
    private isRestarting = false;
    private harmfulPart: string | undefined;
    /** Number of reasons for which it is full. */
    private fullCount = 0;
    private behaviour: EndpointBehaviour = {};
    readonly history = EndpointHistory.create();
    private readonly registration: EndpointRegistration;
    private readonly options: SoakEndpointOptions;
    /** Selects the endpoint that the proxy leads to. */
    private target: ProxyTarget;

    private constructor(options: SoakEndpointOptions, proxy: LoopbackProxy, target: ProxyTarget) {
        this.options = options;
        this.name = options.name;
        this.proxy = proxy;
        this.target = target;
        this.registration = EndpointRegistration.create(options.store);
        target.endpoint = this;
    }

    /** Starts an endpoint and registers it. */
    static async create(options: SoakEndpointOptions): Promise<SoakEndpoint> {
        const target: ProxyTarget = { endpoint: undefined };
        const [port] = await findFreePorts(1);
        const proxy = await LoopbackProxy.create(() => target.endpoint!.getCurrent().address, port);
        const endpoint = new SoakEndpoint(options, proxy, target);
        await endpoint.start();
        return endpoint;
    }

    /** Gets the name of the service of the endpoint. */
    getService(): string {
        return this.options.service;
    }

    /** Gets if the endpoint serves layers of a model. */
    isStage(): boolean {
        return this.options.isStage;
    }

    /** Gets if the endpoint holds layers. */
    hasLayers(): boolean {
        return this.getCurrent().standin.layers !== undefined;
    }

    /** Starts a new incarnation, without layers. */
    async start(): Promise<void> {
        const id = `${this.name}-${this.history.getCount()}`;
        const standin = await EndpointStandin.create({
            id,
            events: eventsPerStream,
            eventMilliseconds,
            onLayersChanged: () => this.handleLayersChanged(id),
            onStopped: () => {
                this.handleEnded();
                void this.restart();
            },
        });
        standin.behaviour = this.createBehaviour();
        standin.born = Date.now();
        const address = standin.getAddress();
        const startedAt = Date.now();
        const running = { endedAt: undefined, leavingSince: undefined, deletedAt: undefined };
        this.history.add({ standin, id, address, startedAt, ...running });
        this.proxy.resetConnections();
        await this.proxy.listen();
        this.register();
    }

    /** Sets how this and all later incarnations of the endpoint respond. */
    setBehaviour(behaviour: EndpointBehaviour): void {
        this.behaviour = behaviour;
        this.getCurrent().standin.behaviour = this.createBehaviour();
    }

    /** Sets the part of a prompt that crashes this and all later incarnations of the endpoint. */
    setHarmfulPart(part: string | undefined): void {
        this.harmfulPart = part;
        this.getCurrent().standin.behaviour.stopsOnPromptPart = part;
    }

    /** Makes this and all later incarnations refuse new requests as full for some time. Those that run go on. */
    async refuseAsFull(milliseconds: number): Promise<void> {
        this.changeFullCount(1);
        await sleep(milliseconds);
        this.changeFullCount(-1);
    }

    private changeFullCount(change: number): void {
        this.fullCount += change;
        this.getCurrent().standin.behaviour.isFull = this.fullCount > 0;
    }

    /**
     * Makes the endpoint stand still with its connections open.
     * @param answersReports - Whether it goes on answering status reports.
     */
    fallSilent(milliseconds: number, answersReports = false): void {
        this.getCurrent().standin.fallSilent(milliseconds, answersReports);
    }

    /** Registers as draining and continues to serve. */
    startLeaving(): void {
        this.getCurrent().leavingSince = Date.now();
        this.register("draining");
    }

    /** Changes the record for some time in which the endpoint goes on serving, unless it has ended or is leaving for good. */
    async changeRecord(change: RecordChange, milliseconds: number): Promise<void> {
        const current = this.getCurrent();
        if (!isRegistered(current)) {
            return;
        }
        if (change === RecordChange.Lapse) {
            this.registration.remove(current.id);
        }
        else {
            this.register("draining");
        }
        await sleep(milliseconds);
        if (current === this.getCurrent() && isRegistered(current)) {
            this.register();
        }
    }

    /** Restarts after a crash, once the store record would have expired. */
    async restart(): Promise<void> {
        const ended = this.getCurrent();
        await sleep(EndpointRegistration.timeToLiveMilliseconds);
        if (ended === this.getCurrent() && !this.isRestarting) {
            this.isRestarting = true;
            this.unregister();
            await this.start();
            this.isRestarting = false;
        }
    }

    /** Simulates a crash: the store record remains until {@link SoakEndpoint.unregister}. */
    async crash(): Promise<void> {
        this.handleEnded();
        await this.getCurrent().standin.close();
    }

    /** Removes the store record, as the platform does after missed heartbeats. */
    unregister(): void {
        const current = this.getCurrent();
        current.deletedAt ??= Date.now();
        this.registration.remove(current.id);
    }

    /** Exchanges the addresses of two endpoints that have crashed, so that each starts again at the address of the other one. */
    exchangeAddresses(other: SoakEndpoint): void {
        [this.proxy, other.proxy] = [other.proxy, this.proxy];
        [this.target, other.target] = [other.target, this.target];
        this.target.endpoint = this;
        other.target.endpoint = other;
    }

    /**
     * Writes the record again if the store was restored from an older snapshot. Records of earlier incarnations, which the copy may contain,
     * expire like those of a crashed endpoint.
     */
    async handleStoreRestored(): Promise<void> {
        await this.registration.restore(this.history.listEndedIds());
    }

    /** Stops the endpoint and its proxy. */
    async close(): Promise<void> {
        await this.getCurrent().standin.close();
        await this.proxy.close();
    }

    private createBehaviour(): EndpointBehaviour {
        const stopsAfterAnswering = { body: lateHarmfulBody, milliseconds: lateCrashMilliseconds };
        return {
            stopsOnBody: harmfulBody,
            stopsAfterAnswering,
            stopsOnPromptPart: this.harmfulPart,
            isFull: this.fullCount > 0,
            ...this.behaviour,
        };
    }

    private handleEnded(): void {
        this.getCurrent().endedAt ??= Date.now();
        this.proxy.refuseConnections();
    }

    private getCurrent(): EndpointIncarnation {
        return this.history.getCurrent();
    }

    /** Registers the new layers, unless the record was deleted or the endpoint has been replaced. */
    private handleLayersChanged(id: string): void {
        const current = this.getCurrent();
        if (current.id === id && current.deletedAt === undefined) {
            this.register();
        }
    }

    private register(state?: string): void {
        const { id, standin } = this.getCurrent();
        const layers = this.isStage() ? standin.layers ?? null : undefined;
        const address = this.proxy.getAddress();
        const { service, dataCentre } = this.options;
        const { born } = standin;
        this.registration.write(id, { service, address, state, slots, layers, born, dataCentre });
    }
}

function isRegistered({ endedAt, leavingSince, deletedAt }: EndpointIncarnation): boolean {
    return endedAt === undefined && leavingSince === undefined && deletedAt === undefined;
}
