/** Settings and RPC client that every ctl command needs. */
import { OperatorClient } from "../rpc/operatorClient.ts";
import { PeerAuthentication } from "../rpc/peerAuthentication.ts";
import { PeerClientFactory } from "../rpc/peerClientFactory.ts";
import { ctlSettingsTable, OutputFormat } from "../settings/ctlSettings.ts";
import { readSettings, type SettingsTable, type SettingValues } from "../settings/settingsTable.ts";
import { readSecretFile } from "./secretFile.ts";

export interface CtlContext<Table extends SettingsTable> extends AsyncDisposable {
    readonly client: OperatorClient;
    readonly clientFactory: PeerClientFactory;
    /** gRPC addresses of the instances to ask, in order of preference. */
    readonly servers: readonly string[];
    readonly timeoutMs: number;
    readonly values: SettingValues<Table>;
    readonly isJsonOutput: boolean;
    readonly clusterSecret: string;
}

/**
 * Reads the common settings and those of the command, and creates the client.
 * @param table settings of the command
 * @throws SettingsError for invalid settings and for a secret file that cannot be read
 */
export function openCtlContext<Table extends SettingsTable>(
    table: Table,
    commandLine: readonly string[],
): CtlContext<Table> {
    const values = readSettings({ ...ctlSettingsTable, ...table }, commandLine, process.env) as
        & SettingValues<Table>
        & SettingValues<typeof ctlSettingsTable>;
    const clusterSecret = readSecretFile("cluster-secret-file", values["cluster-secret-file"]);
    const authentication = new PeerAuthentication({
        cluster: values["cluster-name"],
        instanceId: "operator",
        secret: clusterSecret,
    });
    const clientFactory = new PeerClientFactory({ authentication });
    const client = new OperatorClient({
        servers: values.server,
        clientFactory,
        timeoutMs: values["timeout-ms"],
    });
    return {
        client,
        clientFactory,
        servers: values.server,
        timeoutMs: values["timeout-ms"],
        values,
        isJsonOutput: values.output === OutputFormat.Json,
        clusterSecret,
        [Symbol.asyncDispose]: () => client[Symbol.asyncDispose](),
    };
}
