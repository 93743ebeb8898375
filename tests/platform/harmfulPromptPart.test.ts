// Guards against sending requests on whose prompts have a part that crashes each endpoint that begins to answer them. No two of these requests
// are alike, so each was new to a quarantine that knew whole requests only: 19 endpoints crashed, and such requests were sent 10 times more
// after the fifth. The log has the same part in the FL1718 lines of all crashes.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { SeededRandom } from "../../scripts/soak/seededRandom.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

/** Requests of one kind. Lists the shared parts of the prompt of a harmful one and of a sound one. */
interface RequestForm {
    name: string;
    path: string;
    endpoints: number;
    harmfulPerSecond: number;
    /** Whether requests with the part are sound at first, and become harmful later. */
    isSoundAtFirst?: boolean;
    listHarmful(random: SeededRandom): string[];
    listSound(random: SeededRandom): string[];
}

const harmfulPart = "badc0de";
const seed = 61;
const nodeCount = 3;
const settleMilliseconds = 3_000;
const soundMilliseconds = 4_000;
const harmfulMilliseconds = 20_000;
const restartMilliseconds = { from: 3_000, to: 5_000 };
/** Time after a crash at which the record of the endpoint ends. */
const expiryMilliseconds = 2_000;
const readMilliseconds = 60;
const stream = { events: 25, eventMilliseconds: 15 };
/** The crash after which nodes have the settle time, and how many requests may still reach endpoints later. */
const decisiveCrashes = 5;
const maximumLateRequests = 3;
/** Time in which nodes exchange their state several times. */
const gossipMilliseconds = 1_000;
/** Of a harmful request at a node that starts beside others, and of a harmful and a sound one after a start of all nodes. */
const expectedStatuses = [503, 503, 200];
/** From this part of the rate before, sound requests count as served. */
const minimumServedFraction = 0.5;
const minimumSoundRequests = 16;

const chooseGroup = (random: SeededRandom) => `c${random.chooseInteger(0, 5)}:400`;
const chooseLength = (random: SeededRandom) => random.chooseInteger(100, 900);

const forms: RequestForm[] = [
    {
        name: "resumable, second",
        path: "/model/x",
        endpoints: 8,
        harmfulPerSecond: 4,
        listHarmful: () => ["a1:800", `${harmfulPart}:200`],
        listSound: random => ["a1:800", chooseGroup(random)],
    },
    {
        name: "resumable, first, of any length",
        path: "/model/x",
        endpoints: 12,
        harmfulPerSecond: 8,
        listHarmful: random => [`${harmfulPart}:${chooseLength(random)}`, "b1:90"],
        listSound: random => [`a1:${chooseLength(random)}`, "b1:90"],
    },
    {
        name: "not resumable, third",
        path: "/once/x",
        endpoints: 8,
        harmfulPerSecond: 4,
        listHarmful: random => ["a1:800", chooseGroup(random), `${harmfulPart}:200`],
        listSound: random => ["a1:800", chooseGroup(random), "d1:200"],
    },
    {
        name: "resumable, second, sound at first",
        path: "/model/x",
        endpoints: 8,
        harmfulPerSecond: 4,
        isSoundAtFirst: true,
        listHarmful: () => ["a1:800", `${harmfulPart}:200`],
        listSound: random => ["a1:800", chooseGroup(random)],
    },
];

/** A request that was sent, and whether it got its whole answer. */
interface SentRequest {
    at: number;
    isHarmful: boolean;
    answer: Promise<CallerAnswer>;
}

/** What was seen in a play. */
interface PlayResult {
    summary: string;
    isBroken: boolean;
}

/** One play of requests of a form. */
class Play {
    private readonly form: RequestForm;
    private readonly harness: RouterTestHarness;
    private readonly random = SeededRandom.create(seed);
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly crashedAt: number[] = [];
    private readonly sent: SentRequest[] = [];
    private nodes: StartedNode[] = [];
    private started = 0;
    private isHarmful = false;

    private constructor(form: RequestForm, harness: RouterTestHarness) {
        this.form = form;
        this.harness = harness;
    }

    /** Plays the requests. Returns what was seen, and whether a bound was broken. */
    static async run(form: RequestForm): Promise<PlayResult> {
        const play = new Play(form, await RouterTestHarness.create());
        try {
            await play.start();
            await play.send();
            const result = await play.review();
            const statuses = [await play.sendAfterStart(), ...await play.sendAfterRestart()];
            const summary = `${result.summary}, by new nodes ${statuses.join(" ")}`;
            return { summary, isBroken: result.isBroken || statuses.join() !== expectedStatuses.join() };
        }
        finally {
            for (const timer of play.timers) {
                clearTimeout(timer);
            }
            await play.harness.close();
        }
    }

    private async start(): Promise<void> {
        const { harness, form } = this;
        harness.putWholePlacement(form.endpoints);
        for (let index = 0; index < form.endpoints; index++) {
            await this.startEndpoint();
        }
        for (let index = 0; index < nodeCount; index++) {
            this.nodes.push(await harness.addNode());
        }
        for (const node of this.nodes) {
            await harness.waitForEndpoints(node, form.endpoints);
        }
    }

    private async startEndpoint(): Promise<void> {
        this.started += 1;
        const id = `e${this.started}`;
        const onStopped = () => this.handleCrash(id);
        const endpoint = await this.harness.addEndpoint(id, "model", { from: 0, to: 8 }, { ...stream, onStopped });
        this.setBehaviour(endpoint);
    }

    private setBehaviour(endpoint: EndpointStandin): void {
        const stopsOnPromptPart = this.isHarmful ? harmfulPart : undefined;
        endpoint.behaviour = { delayMilliseconds: readMilliseconds, stopsOnPromptPart };
    }

    private handleCrash(id: string): void {
        this.crashedAt.push(Date.now());
        const { from, to } = restartMilliseconds;
        this.timers.push(
            setTimeout(() => this.harness.store.remove(`servers/${id}`), expiryMilliseconds),
            setTimeout(() => void this.startEndpoint(), this.random.chooseInteger(from, to)),
        );
    }

    private async send(): Promise<void> {
        const { form, harness } = this;
        this.isHarmful = form.isSoundAtFirst !== true;
        const start = Date.now();
        for (let count = 0; Date.now() - start < soundMilliseconds + harmfulMilliseconds; count++) {
            if (Date.now() - start >= soundMilliseconds) {
                this.isHarmful = true;
            }
            for (const endpoint of harness.endpoints.values()) {
                this.setBehaviour(endpoint);
            }
            const isHarmfulSent = this.isHarmful && Date.now() - start >= soundMilliseconds
                || form.isSoundAtFirst === true;
            this.sendOne(false, count);
            if (isHarmfulSent) {
                this.sendOne(true, count);
            }
            await wait(1_000 / form.harmfulPerSecond);
        }
    }

    private sendOne(isHarmful: boolean, count: number): SentRequest {
        const { form, random, harness } = this;
        const node = random.choose(this.nodes)!;
        const shared = isHarmful ? form.listHarmful(random) : form.listSound(random);
        const prefix = [...shared, `f${isHarmful ? "0" : "1"}${count.toString(16)}:50`].join(",");
        const headers = { "prompt-prefix": prefix };
        const body = `${isHarmful} ${count}`;
        const answer = harness.send(node, form.path, { headers, body });
        const sent = { at: Date.now(), isHarmful, answer };
        this.sent.push(sent);
        return sent;
    }

    private async review(): Promise<PlayResult> {
        const { crashedAt, form } = this;
        const settledAt = (crashedAt[decisiveCrashes - 1] ?? Infinity) + settleMilliseconds;
        const lateRequests = [...this.harness.endpoints.values()].flatMap(({ runs }) => runs)
            .filter(({ headers, arrivedAt }) =>
                arrivedAt > settledAt && String(headers["prompt-prefix"]).includes(`${harmfulPart}:`)
            ).length;
        const lastCrash = crashedAt[decisiveCrashes - 1] ?? crashedAt.at(-1) ?? Infinity;
        const firstCrash = crashedAt[0] ?? Infinity;
        const before = await this.getServed(at => at < firstCrash - settleMilliseconds / 10);
        const after = await this.getServed(at => at > lastCrash + 2 * settleMilliseconds);
        const summary = `${form.name}: ${crashedAt.length} crashes, ${lateRequests} late requests, sound ones served:`
            + ` ${before.served} of ${before.sent} before, ${after.served} of ${after.sent} after`;
        const isServed = after.sent >= minimumSoundRequests
            && after.served / after.sent >= minimumServedFraction * before.served / before.sent;
        return { summary, isBroken: lateRequests > maximumLateRequests || !isServed };
    }

    /** Sends a harmful request to a node that has just started beside the others. */
    private async sendAfterStart(): Promise<number> {
        this.nodes = [await this.startNode()];
        return (await this.sendOne(true, 0).answer).status;
    }

    /** Sends a harmful and a sound request to a node that has started after all nodes have stopped. */
    private async sendAfterRestart(): Promise<number[]> {
        await this.harness.stopNodes();
        this.nodes = [await this.startNode()];
        return [(await this.sendOne(true, 0).answer).status, (await this.sendOne(false, 0).answer).status];
    }

    private async startNode(): Promise<StartedNode> {
        const node = await this.harness.addNode();
        await this.harness.waitForEndpoints(node, this.form.endpoints);
        await wait(gossipMilliseconds);
        return node;
    }

    private async getServed(isCounted: (at: number) => boolean): Promise<{ sent: number; served: number; }> {
        const sent = this.sent.filter(({ at, isHarmful }) => !isHarmful && isCounted(at));
        const answers = await Promise.all(sent.map(({ answer }) => answer));
        const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
        return { sent: sent.length, served };
    }
}

describe("Requests with a part of the prompt that crashes endpoints", () => {
    it("are hardly forwarded any more, while others with the same other parts are served", async context => {
        const results = await Promise.all(forms.map(form => Play.run(form)));
        for (const { summary } of results) {
            context.diagnostic(summary);
        }
        assert.deepEqual(results.filter(({ isBroken }) => isBroken), []);
    });
});
