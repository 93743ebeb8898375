/** One line of a log that concerns the request. */
export interface StoryLine {
    /** Time of the line, milliseconds since the Unix epoch. */
    time: number;
    vm: string;
    event: string;
    message: string;
    /** What else the line says. */
    fields: Readonly<Record<string, unknown>>;
    /** Whether it concerns an endpoint that the request used, and not the request itself. */
    isContext: boolean;
}
