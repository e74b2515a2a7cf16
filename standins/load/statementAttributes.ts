/** Statement attributes, sent in a comment at the end of the statement. */

export interface StatementAttributes {
    readonly workClass?: string;
    readonly requestId?: string;
    readonly maximumAgeMs?: number;
    readonly sessionToken?: string;
}

/** Appends a comment in sqlcommenter format: names with quoted, percent-encoded values. */
export function appendAttributes(sql: string, attributes: StatementAttributes): string {
    const pairs = [
        ["class", attributes.workClass],
        ["request_id", attributes.requestId],
        ["max_age_ms", attributes.maximumAgeMs],
        ["session_token", attributes.sessionToken],
    ].flatMap(([name, value]) => value === undefined ? [] : [`${name}='${encodeValue(value)}'`]);
    return pairs.length === 0 ? sql : `${sql} /*${pairs.join(",")}*/`;
}

// encodeURIComponent does not encode single quotes.
function encodeValue(value: string | number): string {
    return encodeURIComponent(value).replaceAll("'", "%27");
}
