/** Faults that `plantedFaults.ts` plants, and the specs that have to find them. */

export interface PlantedFault {
    readonly name: string;
    readonly file: string;
    /** Occurs once in the file. */
    readonly original: string;
    readonly replacement: string;
    readonly specs: readonly string[];
}

const wireSpecs = ["src/platform/__tests__/platformCodecs.spec.ts"];
const linkSpecs = ["src/session/__tests__/link.spec.ts"];
const replySpecs = ["src/session/__tests__/replyMatcher.spec.ts"];
const connectionSpecs = ["src/platform/__tests__/wireClient.spec.ts", "src/platform/__tests__/wireServer.spec.ts"];
const documentSpecs = [
    "src/platform/__tests__/documentBoundary.spec.ts",
    "src/platform/__tests__/documentProperties.spec.ts",
];
const taskSpecs = ["src/rpc/__tests__/taskCodec.spec.ts"];
const sqlSpecs = ["src/request/__tests__/sqlText.spec.ts"];
const callerTextSpecs = ["src/frontend/__tests__/callerPackets.spec.ts"];
const databaseSettingsSpecs = ["src/backend/__tests__/sessionSettings.spec.ts"];
const storageSpecs = ["src/storage/__tests__/unreadableRecords.spec.ts"];
const callSpecs = ["src/rpc/__tests__/malformedLogCalls.spec.ts"];
const nameSpecs = ["src/rpc/__tests__/healthRpc.spec.ts"];

export const plantedFaults: readonly PlantedFault[] = [
    {
        name: "messages end at a line feed",
        file: "src/platform/wireLines.ts",
        original: "this.textOf(chunk).split(lineTerminator)",
        replacement: "this.textOf(chunk).split(/\\r?\\n/)",
        specs: wireSpecs,
    },
    {
        name: "a carriage return at the end of a chunk is not held back",
        file: "src/platform/wireLines.ts",
        original: "this.endsInReturn = text.endsWith(\"\\r\");",
        replacement: "this.endsInReturn = false;",
        specs: wireSpecs,
    },
    {
        name: "messages have no maximum length",
        file: "src/platform/wireLines.ts",
        original: "if (lineBytes > maximumLineBytes) {",
        replacement: "if (lineBytes > 2 * maximumLineBytes) {",
        specs: wireSpecs,
    },
    {
        name: "the end of a line may stand in a message",
        file: "src/platform/wireCodec.ts",
        original: "text.includes(lineTerminator) || ",
        replacement: "",
        specs: connectionSpecs,
    },
    {
        name: "callers may use the id of the proxy",
        file: "src/platform/wireCodec.ts",
        original: "if (id === \"\" || id === proxyId) {",
        replacement: "if (id === \"\") {",
        specs: wireSpecs,
    },
    {
        name: "the shared name of a prepared statement is its text",
        file: "src/session/link.ts",
        original: "const name = `p${this.nextPreparedNumber++}`;",
        replacement: "const name = `${prepared.writes ? \"w\" : \"r\"}_${prepared.shape}`;",
        specs: linkSpecs,
    },
    {
        name: "names of prepared statements are used again on a link",
        file: "src/session/link.ts",
        original: "const name = `p${this.nextPreparedNumber++}`;",
        replacement: "const name = `p${this.preparedBy(prepared).size + 1}`;",
        specs: linkSpecs,
    },
    {
        name: "rows of a reply are joined with line feeds",
        file: "src/session/replyMatcher.ts",
        original: "JSON.stringify([transaction, fault ?? \"\", detail, rows])",
        replacement: "[transaction, fault ?? \"\", detail, ...rows].join(\"\\n\")",
        specs: replySpecs,
    },
    {
        name: "an argument is trimmed on the way to another instance",
        file: "src/rpc/taskCodec.ts",
        original: "[kind, id, name, argument]",
        replacement: "[kind, id, name, argument.trim()]",
        specs: taskSpecs,
    },
    {
        name: "names of workspaces are not checked",
        file: "src/platform/documentCodec.ts",
        original: "return text !== proxyId && isName(text);",
        replacement: "return text !== proxyId;",
        specs: documentSpecs,
    },
    {
        name: "sections are told apart by the prefix of an id",
        file: "src/model/document.ts",
        original: "entry.section ?? sectionOfEarlierRelease(entry.entryId, bySection)",
        replacement: "sectionOfEarlierRelease(entry.entryId, bySection)",
        specs: documentSpecs,
    },
    {
        name: "names are joined into ids without escaping",
        file: "src/platform/documentCodec.ts",
        original: "name.replaceAll(\"#\", \"##\")",
        replacement: "name",
        specs: documentSpecs,
    },
    {
        name: "places of routes are joined without a separator",
        file: "src/platform/documentCodec.ts",
        original: "JSON.stringify([route.host, route.path_prefix])",
        replacement: "route.host + route.path_prefix",
        specs: documentSpecs,
    },
    {
        name: "two workspaces may share a key",
        file: "src/platform/documentCodec.ts",
        original: "tenants.flatMap(tenant => [...new Set(tenant.api_keys)])",
        replacement: "[]",
        specs: [...wireSpecs, ...documentSpecs],
    },
    {
        name: "a backslash escapes nothing",
        file: "src/request/sqlTokenizer.ts",
        original: "if (character === \"\\\\\" && quote !== \"`\") {",
        replacement: "if (character === \"\\0\") {",
        specs: sqlSpecs,
    },
    {
        name: "statements of MySQL callers may have any bytes",
        file: "src/frontend/callerText.ts",
        original: "!(this.isUtf8Agreed && isUtf8(bytes))",
        replacement: "false",
        specs: callerTextSpecs,
    },
    {
        name: "another character set than UTF-8 counts as agreed",
        file: "src/frontend/callerText.ts",
        original: "this.isUtf8Agreed && isUtf8(bytes)",
        replacement: "isUtf8(bytes)",
        specs: callerTextSpecs,
    },
    {
        name: "databases keep ANSI_QUOTES",
        file: "src/backend/sessionSettings.ts",
        original: "    \"ANSI_QUOTES\",\n",
        replacement: "",
        specs: databaseSettingsSpecs,
    },
    {
        name: "stored terms are not checked",
        file: "src/storage/memberStorage.ts",
        original: "    requireReadable(file, () => requireValid(\"term\", termSchema, records[0]));\n",
        replacement: "",
        specs: storageSpecs,
    },
    {
        name: "snapshot records of peers are not checked",
        file: "src/rpc/logCodec.ts",
        original: "requireSnapshotRecord(decodeJson(record))",
        replacement: "decodeJson(record) as ReturnType<typeof requireSnapshotRecord>",
        specs: callSpecs,
    },
    {
        name: "names in announcements are not checked",
        file: "src/rpc/announcementCodec.ts",
        original: "nameFields.find(field => !isObjectName(request[field]))",
        replacement: "nameFields.find(field => request[field] === \"\")",
        specs: nameSpecs,
    },
];
