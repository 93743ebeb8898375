/** What may explain, beside the endpoints, that an answer ended before it was complete. */
export interface NodeConditions {
    /** Version of the configuration in force; 0 if there is none. */
    configurationVersion: number;
    /** Time for which it has been in force at this node, in milliseconds. */
    configurationAgeMilliseconds: number;
    /** Event loop delay, in milliseconds. */
    lagMilliseconds: number;
}
