import { LRUCache } from "lru-cache";

/** Moving averages of one route, in milliseconds per unit of size. */
interface RouteTimes {
    mean: number;
    deviation: number;
}

/** Maximum number of routes for which times are stored. */
const maximumRoutes = 500;
/** Weight of the newest answer in the moving averages, which cover about the last twenty. */
const newestWeight = 0.05;
/** Mean deviations above the mean, within which about nine in ten answers end. */
const deviationFactor = 2;

/** Tracks how long the recent answers of each route took, in proportion to their size. */
export class AnswerTimes {
    private readonly routes = new LRUCache<string, RouteTimes>({ max: maximumRoutes });

    private constructor() {}

    /** Creates an instance without measurements. */
    static create(): AnswerTimes {
        return new AnswerTimes();
    }

    /**
     * Records a complete answer.
     * @param route - Name of the route.
     * @param milliseconds - Time that it took.
     * @param size - Size that was expected before it began, at least 1.
     */
    record(route: string, milliseconds: number, size: number): void {
        const time = milliseconds / size;
        const known = this.routes.get(route);
        if (known === undefined) {
            this.routes.set(route, { mean: time, deviation: 0 });
            return;
        }
        known.deviation += newestWeight * (Math.abs(time - known.mean) - known.deviation);
        known.mean += newestWeight * (time - known.mean);
    }

    /** Gets the time within which about nine in ten answers of a size end, in milliseconds; 0 before the first answer of the route. */
    getExpected(route: string, size: number): number {
        const known = this.routes.get(route);
        return known === undefined ? 0 : size * (known.mean + deviationFactor * known.deviation);
    }
}
