import type { StartBound } from "../../admission/start/startBound.ts";

/** A refused request. */
interface Refusal {
    rank: number;
    customer: string | undefined;
    bound: StartBound;
    retryAfterMilliseconds: number;
}

/** Refusals with the same rank, customer and bound. Times are monotonic, in milliseconds. */
interface RefusalGroup extends Omit<Refusal, "retryAfterMilliseconds"> {
    count: number;
    firstAt: number;
    lastAt: number;
    /** Latest time at which a caller was told to retry. */
    retryAt: number;
}

/** Time without a refusal after which a group ends. Callers retry after a few seconds, so a shorter one would end it between retries. */
const groupMilliseconds = 5_000;
/** Maximum number of groups, since there may be thousands of customers. Those with the latest refusals are kept. */
const maximumGroups = 64;

/** Keeps for operators which ranks and customers this node has refused recently, by which bound and since when. */
export class RecentRefusals {
    /** By rank, bound and customer, in the order of the last refusal. */
    private readonly groups = new Map<string, RefusalGroup>();

    private constructor() {}

    /** Creates an instance without refusals. */
    static create(): RecentRefusals {
        return new RecentRefusals();
    }

    /** Records a refusal. */
    note({ rank, customer, bound, retryAfterMilliseconds }: Refusal, now: number): void {
        const key = `${rank} ${bound} ${customer ?? ""}`;
        const known = this.groups.get(key);
        const continued = known !== undefined && now - known.lastAt <= groupMilliseconds ? known : undefined;
        this.groups.delete(key);
        this.groups.set(key, {
            rank,
            customer,
            bound,
            count: (continued?.count ?? 0) + 1,
            firstAt: continued?.firstAt ?? now,
            lastAt: now,
            retryAt: Math.max(continued?.retryAt ?? now, now + retryAfterMilliseconds),
        });
        const [oldest] = this.groups.keys();
        if (this.groups.size > maximumGroups && oldest !== undefined) {
            this.groups.delete(oldest);
        }
    }

    /** Lists the refusals of the last seconds, the latest last. */
    list(now: number) {
        return [...this.groups.values()].filter(({ lastAt }) => now - lastAt <= groupMilliseconds)
            .map(({ rank, customer, bound, count, firstAt, lastAt, retryAt }) => ({
                rank,
                customer,
                bound,
                count,
                sinceMilliseconds: Math.round(now - firstAt),
                lastMilliseconds: Math.round(now - lastAt),
                /** Time until the last of their callers was told to retry. */
                retryMilliseconds: Math.round(Math.max(0, retryAt - now)),
            }));
    }
}
