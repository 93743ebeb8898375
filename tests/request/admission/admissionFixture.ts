import { createBenchConfiguration } from "../../../bench/admission/createBenchConfiguration.ts";
import { createRandom } from "../../../bench/admission/createRandom.ts";
import { Admission } from "../../../src/request/admission/admission.ts";
import type { AdmissionRequest } from "../../../src/request/admission/admissionRequest.ts";
import type { AdmissionTicket } from "../../../src/request/admission/admissionTicket.ts";
import { CustomerLimits } from "../../../src/request/admission/customerLimits.ts";
import type { Refusal } from "../../../src/request/admission/refusal.ts";
import type { Configuration, CustomerConfiguration, RequestLimits } from "../../../src/version/configuration.ts";
import { VirtualClock } from "../../support/virtualClock.ts";

interface FixtureOptions {
    customers?: Record<string, Partial<CustomerConfiguration>>;
    limits?: Partial<RequestLimits>;
    concurrencyLimit?: number;
}

/** The result of one request; pending while both the ticket and the refusal are undefined. */
interface Answer {
    ticket?: AdmissionTicket;
    refusal?: Refusal;
    /** Virtual time of the result, in milliseconds. */
    answeredAt?: number;
}

/** An admission with a virtual clock. */
export class AdmissionFixture {
    readonly clock = VirtualClock.create();
    readonly admission: Admission;
    readonly configuration: Configuration;
    concurrencyLimit: number;

    private constructor(options: FixtureOptions) {
        this.concurrencyLimit = options.concurrencyLimit ?? 1;
        this.configuration = createBenchConfiguration(options.customers ?? { alice: {}, bob: {} }, options.limits);
        const shared = { getConfiguration: () => this.configuration, clock: this.clock, random: createRandom(1) };
        this.admission = Admission.create({
            ...shared,
            getConcurrencyLimit: () => this.concurrencyLimit,
            customerLimits: CustomerLimits.create(shared),
        });
    }

    static create(options: FixtureOptions = {}): AdmissionFixture {
        return new AdmissionFixture(options);
    }

    /** Sends a request; the returned object is filled in when the request is admitted or refused. */
    async send(request: Partial<AdmissionRequest> = {}): Promise<Answer> {
        const answer: Answer = {};
        const fullRequest = { customer: "alice", gate: "chat", cost: 100, ...request };
        void this.admission.requestAdmission(fullRequest).then(result => {
            answer.answeredAt = this.clock.getMonotonicTime();
            if (result.ok) {
                answer.ticket = result.val;
            }
            else {
                answer.refusal = result.val;
            }
        });
        await this.advance(0);
        return answer;
    }

    /** Advances the virtual time. */
    async advance(milliseconds: number): Promise<void> {
        await this.clock.runUntil(this.clock.getMonotonicTime() + milliseconds);
    }

    /** Lets the admission learn its drain rate from a request of 100 tokens that runs for 1 s. */
    async learnRate(): Promise<void> {
        const answer = await this.send();
        await this.advance(1_000);
        answer.ticket?.release({ tokens: 100 });
    }
}
