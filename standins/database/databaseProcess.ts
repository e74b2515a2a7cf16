/** Assembles one database stand-in: a process that replaces a MySQL server in tests, demos and benchmarks. */
import "disposablestack/auto";
import { DatabaseRole } from "../../src/model/database.ts";
import { formatAddress, replicationAddress } from "./address.ts";
import { AdminServer } from "./adminServer.ts";
import { Announcer } from "./announcer.ts";
import { DatabaseNode } from "./databaseNode.ts";
import { Faults } from "./faults.ts";
import { FileLogStorage, FileRoleStorage, VolatileRoleStorage } from "./fileStorage.ts";
import { GroupLog, VolatileLogStorage } from "./groupLog.ts";
import { Semaphore } from "./locks.ts";
import { MysqlListener } from "./mysqlListener.ts";
import type { PeerCredentials } from "./peerCredentials.ts";
import { ReplicationClient } from "./replicationClient.ts";
import { ReplicationServer } from "./replicationServer.ts";
import type { SessionOptions } from "./session.ts";
import type { DatabaseSettings } from "./settings.ts";
import { SqlStore } from "./sqlStore.ts";

/** Term of the primary of a new group. */
const firstTerm = 1;

export class DatabaseProcess implements AsyncDisposable {
    readonly node: DatabaseNode;
    readonly listener: MysqlListener;
    readonly admin: AdminServer;
    readonly announcer: Announcer;
    private readonly resources: AsyncDisposableStack;

    private constructor(parts: {
        readonly node: DatabaseNode;
        readonly listener: MysqlListener;
        readonly admin: AdminServer;
        readonly announcer: Announcer;
        readonly resources: AsyncDisposableStack;
    }) {
        this.node = parts.node;
        this.listener = parts.listener;
        this.admin = parts.admin;
        this.announcer = parts.announcer;
        this.resources = parts.resources;
    }

    static async open(settings: DatabaseSettings, peerCredentials: PeerCredentials): Promise<DatabaseProcess> {
        await using startupResources = new AsyncDisposableStack();
        const node = openNode(settings, startupResources, startupResources.use(await SqlStore.open()));
        const faults = new Faults(settings);
        const session: SessionOptions = {
            node,
            faults,
            slots: new Semaphore(settings.slots),
            counters: { reads: 0, writes: 0 },
            sessionDefaults: settings.sessionDefaults,
        };
        const listener = startupResources.use(
            await MysqlListener.open({ ...settings, ...session, address: settings.listen }),
        );
        const replicationListenAddress = replicationAddress(listener.address);
        startupResources.use(await ReplicationServer.open(node, faults, replicationListenAddress));
        startupResources.use(new ReplicationClient(node, faults));
        const admin = startupResources.use(
            await AdminServer.open({ ...settings, ...session, port: settings.adminPort, listener }),
        );
        const identity = { ...settings, address: formatAddress(listener.address) };
        const announcer = startupResources.use(
            new Announcer({ identity, node, faults, peerCredentials, instanceAddresses: settings.announce }),
        );
        return new DatabaseProcess({ node, listener, admin, announcer, resources: startupResources.move() });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.resources.disposeAsync();
    }
}

function openNode(settings: DatabaseSettings, resources: AsyncDisposableStack, store: SqlStore): DatabaseNode {
    const logStorage = settings.disk === undefined
        ? new VolatileLogStorage()
        : resources.use(new FileLogStorage(settings.disk));
    const roleStorage = settings.disk === undefined
        ? new VolatileRoleStorage()
        : new FileRoleStorage(`${settings.disk}.role`);
    const isPrimary = settings.role === DatabaseRole.Primary;
    return new DatabaseNode({
        store,
        log: new GroupLog(logStorage),
        roleStorage,
        initialState: { role: settings.role, term: firstTerm, primaryAddress: isPrimary ? "" : settings.primary },
        lockTimeoutMs: settings.lockTimeoutMs,
    });
}
