import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { request } from "undici";
import { v7 as createUuid } from "uuid";
import { findFreePorts } from "../../../scripts/deployment/findFreePorts.ts";
import type { CreateSocket } from "../../../src/connection/upstream/path/createSocket.ts";
import { FoxleadNode } from "../../../src/process/foxleadNode.ts";
import { EtcdStore } from "../../../src/process/platform/etcdStore.ts";
import { parseSettings } from "../../../src/process/settings/parseSettings.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import { applyConfiguration } from "../../../src/version/applyConfiguration.ts";
import { DocumentStandin } from "../../../standins/document/documentStandin.ts";
import { EngineStandin } from "../../../standins/engine/engineStandin.ts";
import { PlatformStandin } from "../../../standins/platform/platformStandin.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { waitUntil } from "../../support/waitUntil.ts";
import { createNodeConfiguration, type EndpointAddresses } from "./createNodeConfiguration.ts";

/** Options of a {@link NodeFixture}. */
interface NodeFixtureOptions {
    /** Limits in the settings of the node. */
    limits?: object;
    /** Addresses of endpoints that the test provides, by name. */
    addresses?: Partial<EndpointAddresses>;
    /** Additional limits of the configuration. */
    configurationLimits?: object;
    /** Timeout of a call to a document service. */
    documentTimeoutMilliseconds?: number;
    stepBaseMilliseconds?: number;
    /** Creates the sockets of the node's direct connections to endpoints. */
    createSocket?: CreateSocket;
    /** Whether the node has a peer. */
    hasPeer?: boolean;
    /** Time that an engine needs to load the weights of layers. */
    weightLoadMilliseconds?: number;
}

/** The response that a caller received. */
export interface CallerAnswer {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    text: string;
}

/** The expected error of a caller. */
interface ErrorExpectation {
    status: number;
    code: string;
    outcome: string;
    /** Pattern of the message. */
    message: RegExp;
}

/** A node in the process of the test, with stand-ins for the platform, two engines and two document services. */
export class NodeFixture {
    static readonly apiKey = "key-of-the-families";
    readonly log = RecordingEventLog.create();
    readonly engines: EngineStandin[] = [];
    readonly documents: DocumentStandin[] = [];
    node!: FoxleadNode;
    /** Address for callers, as host:port. */
    address = "";
    private platform!: PlatformStandin;
    private peer: FoxleadNode | undefined;

    private constructor() {}

    /** Starts the stand-ins, applies the configuration and starts the node. */
    static async create(options: NodeFixtureOptions = {}): Promise<NodeFixture> {
        const fixture = new NodeFixture();
        fixture.platform = await PlatformStandin.create({ port: 0 });
        await fixture.startEndpoints(options);
        await fixture.applyConfiguration(options);
        await fixture.startNode(options);
        return fixture;
    }

    /** Sends a request to the node. */
    async call(method: string, path: string, headers: Record<string, string>, body?: string): Promise<CallerAnswer> {
        const options = { method: method as "GET", headers, body, headersTimeout: 20_000 };
        const response = await request(`http://${this.address}${path}`, options);
        return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
    }

    /** Sends a POST request with the API key. */
    post(path: string, body: string, headers: Record<string, string> = {}): Promise<CallerAnswer> {
        const all = { authorization: `Bearer ${NodeFixture.apiKey}`, "content-type": "application/json", ...headers };
        return this.call("POST", path, all, body);
    }

    /** Sends a chat request. */
    chat(change: object = {}, headers: Record<string, string> = {}): Promise<CallerAnswer> {
        return this.post("/v1/chat/completions", NodeFixture.createChatBody(change), headers);
    }

    static createChatBody(change: object = {}): string {
        const messages = [{ role: "user", content: "one two three" }];
        return JSON.stringify({ model: "assistant", messages, max_tokens: 4, ...change });
    }

    static createKey(): string {
        return createUuid();
    }

    /** Counts the passes that ran at the engines and the calls that ran at the document services. */
    countRuns(): number {
        let runs = 0;
        for (const engine of this.engines) {
            runs += engine.record.summary.passes;
        }
        for (const document of this.documents) {
            runs += document.getRecord().total;
        }
        return runs;
    }

    /** Counts the sequences that occupy memory at the engines. */
    countSequences(): number {
        let sequences = 0;
        for (const engine of this.engines) {
            sequences += engine.sequences.getCount();
        }
        return sequences;
    }

    /** Asserts that a valid request succeeds. */
    async assertServes(): Promise<void> {
        const answer = await this.chat();
        assert.equal(answer.status, 200, answer.text);
    }

    /** Asserts that an answer is the expected error in the format of the OpenAI API. */
    static assertError(answer: CallerAnswer, expected: ErrorExpectation): void {
        assert.equal(answer.status, expected.status, answer.text);
        const { error } = JSON.parse(answer.text) as { error: Record<string, string>; };
        assert.deepEqual(Object.keys(error).sort(), ["code", "message", "outcome", "type"]);
        assert.equal(error["code"], expected.code);
        assert.equal(error["outcome"], expected.outcome);
        assert.equal(error["type"], expected.status < 500 ? "invalid_request_error" : "server_error");
        assert.match(error["message"]!, expected.message);
    }

    /** Stops the node gracefully and closes the stand-ins. */
    async close(): Promise<void> {
        const deadline = new Promise<void>(resolve => setTimeout(resolve, 1_000));
        await Promise.all([this.node.stop(deadline), this.peer?.stop(deadline)]);
        for (const standin of [...this.engines, ...this.documents, this.platform]) {
            await standin.close();
        }
    }

    private async startEndpoints(options: NodeFixtureOptions): Promise<void> {
        const { stepBaseMilliseconds = 0, weightLoadMilliseconds } = options;
        const timing = weightLoadMilliseconds === undefined ? {} : { weightLoadMilliseconds };
        for (const [index, start] of [0, 4].entries()) {
            const layers = [{ model: "model", start, end: start + 4 }];
            const name = `engine-${index + 1}`;
            const common = { name, layers, modelLayers: { model: 8 }, loadLagMilliseconds: 0, stepBaseMilliseconds };
            this.engines.push(EngineStandin.create({ ...common, ...timing }));
            this.documents.push(DocumentStandin.create({ name: `document-${index + 1}` }));
        }
        for (const standin of [...this.engines, ...this.documents]) {
            await standin.listen();
        }
    }

    private async applyConfiguration(options: NodeFixtureOptions): Promise<void> {
        const addresses: EndpointAddresses = {
            "engine-1": this.engines[0]!.getAddress(),
            "engine-2": this.engines[1]!.getAddress(),
            "document-1": this.documents[0]!.getAddress(),
            "document-2": this.documents[1]!.getAddress(),
            ...options.addresses,
        };
        const keyHash = `sha256:${createHash("sha256").update(NodeFixture.apiKey).digest("hex")}`;
        const configuration = createNodeConfiguration(addresses, keyHash, options);
        const store = EtcdStore.create({ address: this.platform.getAddress(), timeoutMilliseconds: 5_000 });
        const edit = { text: JSON.stringify(configuration), author: "test", expectedVersion: 0, editId: "first" };
        const applied = await applyConfiguration({ store, clock: systemClock, random: Math.random, ...edit });
        await store.close();
        assert.ok(applied.ok, JSON.stringify(applied.val));
    }

    private async startNode(options: NodeFixtureOptions): Promise<void> {
        const [caller, peer, admin, otherCaller, otherPeer, otherAdmin] = await findFreePorts(6);
        this.address = `127.0.0.1:${caller}`;
        const peers = options.hasPeer === true ? [`127.0.0.1:${otherPeer}`] : [];
        const own = { callerListener: this.address, peerListener: `127.0.0.1:${peer}`, admin: admin!, peers };
        this.node = await this.createNode("node-1", own, options, options.createSocket);
        if (options.hasPeer === true) {
            this.peer = await this.createNode("node-2", {
                callerListener: `127.0.0.1:${otherCaller}`,
                peerListener: `127.0.0.1:${otherPeer}`,
                admin: otherAdmin!,
                peers: [own.peerListener],
            }, options);
            const { node, peer: other } = this;
            await waitUntil(
                "the nodes know each other",
                () => node.getStatus().members.length === 2 && other.getStatus().ready,
            );
        }
    }

    private async createNode(
        vm: string,
        listeners: { callerListener: string; peerListener: string; admin: number; peers: string[]; },
        options: NodeFixtureOptions,
        createSocket?: CreateSocket,
    ): Promise<FoxleadNode> {
        const store = this.platform.getAddress();
        const { callerListener, peerListener, admin, peers } = listeners;
        const settings = parseSettings(JSON.stringify({
            vm,
            dataCentre: "centre-a",
            callerListener,
            peerListener,
            adminListener: `127.0.0.1:${admin}`,
            platform: { storeAddress: store, vmListAddress: store },
            peerSecret: "a-secret-for-tests-only",
            peers,
            limits: options.limits ?? {},
        }));
        assert.ok(settings.ok, JSON.stringify(settings.val));
        const { log } = this;
        const common = { settings: settings.val, log, clock: systemClock, random: Math.random, createSocket };
        const node = await FoxleadNode.create(common);
        await node.start();
        await waitUntil("the node is ready", () => node.getStatus().ready);
        return node;
    }
}
