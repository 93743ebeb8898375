/** A log line about a request or an endpoint that it used. */
export interface RequestLogLine {
    /** Time of the line, in milliseconds since the Unix epoch. */
    time: number;
    vm: string;
    event: string;
    message: string;
    /** Other fields of the line. */
    fields: Readonly<Record<string, unknown>>;
    /** Whether the line is about an endpoint that the request used rather than the request itself. */
    isContext: boolean;
}
