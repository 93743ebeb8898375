/** Attributes of a span. They never hold API keys or request bodies. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean>>;
