import type { EngineStatus } from "../../connection/endpoint/engineProtocol.ts";
import type { RandomSource } from "../randomSource.ts";
import type { OrderDispatcherOptions } from "./orderDispatcherOptions.ts";

/** Most engines whose free memory is read for one plan; if there are more, a random sample of this size is read. */
const maximumSampleSize = 32;

/** Reads statuses from the engines themselves. */
export class EngineStatuses {
    private readonly getStatus: OrderDispatcherOptions["getStatus"];
    private readonly random: RandomSource;

    private constructor(getStatus: OrderDispatcherOptions["getStatus"], random: RandomSource) {
        this.getStatus = getStatus;
        this.random = random;
    }

    static create(getStatus: OrderDispatcherOptions["getStatus"], random: RandomSource): EngineStatuses {
        return new EngineStatuses(getStatus, random);
    }

    /** Reads the statuses of engines concurrently. Engines that do not answer are absent from the result. */
    async read(endpoints: readonly string[]): Promise<Map<string, EngineStatus>> {
        const statuses = new Map<string, EngineStatus>();
        await Promise.all(endpoints.map(async endpoint => {
            const status = await this.getStatus(endpoint);
            if (status?.ok) {
                statuses.set(endpoint, status.val);
            }
        }));
        return statuses;
    }

    /**
     * Reads how many positions still fit in the memory of engines. Engines that are leaving are absent from the result.
     */
    async readFreePositions(endpoints: readonly string[]): Promise<Map<string, number>> {
        const freePositions = new Map<string, number>();
        for (const [endpoint, status] of await this.read(this.sample([...endpoints]))) {
            if (!status.leaving) {
                freePositions.set(endpoint, status.freePositions);
            }
        }
        return freePositions;
    }

    private sample(names: string[]): string[] {
        const chosen: string[] = [];
        while (names.length > 0 && chosen.length < maximumSampleSize) {
            chosen.push(...names.splice(Math.floor(this.random() * names.length), 1));
        }
        return chosen;
    }
}
