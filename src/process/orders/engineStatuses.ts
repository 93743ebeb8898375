import type { EngineStatus } from "../../connection/endpoint/engineProtocol.ts";
import type { RandomSource } from "../randomSource.ts";
import type { OrderDispatcherOptions } from "./orderDispatcherOptions.ts";

/** Engines whose free memory is read for one plan; of more, as many are drawn at random. */
const maximumDraws = 32;

/** Reads engines' own statuses. */
export class EngineStatuses {
    private readonly getStatus: OrderDispatcherOptions["getStatus"];
    private readonly random: RandomSource;

    private constructor(getStatus: OrderDispatcherOptions["getStatus"], random: RandomSource) {
        this.getStatus = getStatus;
        this.random = random;
    }

    /** Creates a reader. */
    static create(getStatus: OrderDispatcherOptions["getStatus"], random: RandomSource): EngineStatuses {
        return new EngineStatuses(getStatus, random);
    }

    /** Reads the statuses of engines at the same time; those that do not answer are absent from the result. */
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

    /** Reads how many positions still fit in the memory of engines; those that are leaving are absent. */
    async readFreePositions(endpoints: readonly string[]): Promise<Map<string, number>> {
        const freePositions = new Map<string, number>();
        for (const [endpoint, status] of await this.read(this.draw([...endpoints]))) {
            if (!status.leaving) {
                freePositions.set(endpoint, status.freePositions);
            }
        }
        return freePositions;
    }

    private draw(names: string[]): string[] {
        const drawn: string[] = [];
        while (names.length > 0 && drawn.length < maximumDraws) {
            drawn.push(...names.splice(Math.floor(this.random() * names.length), 1));
        }
        return drawn;
    }
}
