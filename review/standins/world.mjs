// What the scripts share: a deployment with one service of three databases, an operator, tenants and their clients.
import { writeFileSync, appendFileSync } from "node:fs";
import { createServer } from "node:http";
import { Database, delay, post } from "./database.mjs";
import { Deployment, zones } from "./deployment.mjs";
import { operate } from "./client.mjs";

export const tenantNames = ["tenant-1", "tenant-2", "tenant-3", "tenant-4"];
export const service = "ledger";
export const routeName = "orders";

export class World {
    constructor(recordPath) {
        this.recordPath = recordPath;
        writeFileSync(recordPath, "");
        this.startedMs = Date.now();
        this.deployment = new Deployment();
        this.databases = [];
        this.readyFronts = [];
        this.operations = [];
        this.rolledBack = new Map();
        this.timers = [];
        this.record = text => appendFileSync(recordPath, `${((Date.now() - this.startedMs) / 1000).toFixed(3)} ${text}\n`);
    }

    /** Starts everything and waits until both proxies are ready. */
    async start() {
        const { deployment } = this;
        await deployment.choosePorts();
        await this.startPlatform();
        deployment.machines.forEach(machine => deployment.start(machine, true));
        await delay(300);
        for (const [index, zone] of Object.keys(zones).entries()) {
            const database = new Database({
                id: `i-db${index + 1}`, place: index, service, host: deployment.host(31 + index), port: deployment.ports.database, zone,
                role: index === 0 ? "primary" : "replica", peers: this.databases, controls: deployment.controls, record: this.record,
            });
            await database.start();
        }
        await this.putConfiguration(1, tenantNames);
        this.timers.push(setInterval(() => void this.probeFronts(), 1000));
        await this.waitUntil(() => this.readyFronts.length === deployment.fronts.length, 15_000);
    }

    async end() {
        this.timers.forEach(timer => clearInterval(timer));
        this.databases.forEach(database => database.stop());
        this.platform?.close();
        await this.deployment.end();
    }

    configuration(version, tenants) {
        return {
            version,
            routes: [{ name: "r-orders", host: routeName, path_prefix: "/", kind: "primary", timeout_ms: 1000, target_latency_ms: 400, priority: 1, service, max_attempts: 2, public: false }],
            services: [{ name: service, health_path: "/health", max_conns: 50, protocol: "h1", tls: false, sync_replicas: 1 }],
            limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000, tx_idle_ms: 3000 },
            tenants: tenants.map(name => ({ name, api_keys: [`key-of-${name}`], priority: 1, rate_per_s: 200, burst: 200 })),
        };
    }

    /** The operator sends a configuration until it is acknowledged. */
    async putConfiguration(version, tenants) {
        const body = JSON.stringify(this.configuration(version, tenants));
        for (let attempt = 0; attempt < 40; attempt++) {
            const address = this.deployment.controls[attempt % this.deployment.controls.length];
            const status = await post(`http://${address}/-/Config.Put`, body);
            this.record(`operator sends version ${version} (${tenants.join(", ")}) to ${address} -> ${status}`);
            if (status === 200) {
                return;
            }
            await delay(100 + 50 * attempt);
        }
        throw new Error(`version ${version} was not acknowledged`);
    }

    /** The control member that answers a read of the configuration itself. */
    async leader() {
        const members = this.deployment.machines.filter(({ core }) => core);
        for (const member of members) {
            const status = await postWithoutRedirect(`http://${member.ip}:${this.deployment.ports.control}/-/Config.Get`);
            if (status === 200) {
                return member;
            }
        }
        throw new Error("no control member leads");
    }

    /** Starts the clients of a tenant: one operation each `intervalMs`, as long as `active()`. */
    startClients(tenant, intervalMs, { active = () => true, write = count => count % 5 === 0, front = () => true } = {}) {
        const { ports } = this.deployment;
        const addresses = () => {
            const near = this.readyFronts.filter(front);
            return (near.length > 0 ? near : this.readyFronts).map(({ ip }) => ({ host: ip, port: ports.front }));
        };
        let count = 0;
        this.timers.push(setInterval(async () => {
            if (!active()) {
                return;
            }
            count += 1;
            const operation = { tenant, sentMs: Date.now(), result: "" };
            this.operations.push(operation);
            const isWrite = write(count);
            const { result, id } = await operate({
                addresses, database: routeName, key: `key-of-${tenant}`, write: isWrite, deadlineMs: 2500, record: this.record,
            });
            Object.assign(operation, { result, writeId: isWrite ? id : undefined });
        }, intervalMs));
    }

    /** Share of the operations sent in a span of time that were served. */
    servedShare(fromMs, toMs) {
        const sent = this.operations.filter(({ sentMs, result }) => sentMs >= fromMs && sentMs < toMs && result !== "");
        const served = sent.filter(({ result }) => result === "served");
        return { sent: sent.length, served: served.length, share: sent.length === 0 ? 0 : served.length / sent.length };
    }

    async waitUntil(condition, limitMs) {
        const untilMs = Date.now() + limitMs;
        while (!condition()) {
            if (Date.now() > untilMs) {
                throw new Error("the deployment did not get ready");
            }
            await delay(50);
        }
    }

    get primary() {
        return this.databases.find(({ role, running }) => role === "primary" && running);
    }

    async probeFronts() {
        const { fronts, ports } = this.deployment;
        const statuses = await Promise.all(fronts.map(({ ip }) => post(`http://${ip}:${ports.ready}/-/readiness`, "", "GET")));
        this.readyFronts = fronts.filter((_, index) => statuses[index] === 200);
    }

    /**
     * The platform: carries a promotion out 600 ms after it has taken the call up, and refuses a fencing token below one
     * that it has seen. It takes a call up, and answers it, `platformDelayMs` after its arrival.
     */
    async startPlatform() {
        let highestFence = 0;
        this.platform = createServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => setTimeout(() => {
                if (this.platformIsDown) {
                    return;
                }
                const fence = Number(request.headers["jasmineline-fence-token"]);
                const { id } = JSON.parse(Buffer.concat(chunks).toString());
                const isRunning = this.databases.some(database => database.id === id && database.running);
                const status = fence < highestFence || !isRunning ? 409 : 200;
                highestFence = Math.max(highestFence, fence);
                this.record(`platform takes up: promote ${id}, fence ${fence} -> ${status}`);
                response.writeHead(status, { "Content-Length": 0 });
                response.end();
                // For the present primary nothing changes. A later order that was taken up meanwhile replaces this one.
                if (status === 200 && this.primary?.id !== id) {
                    setTimeout(() => fence === highestFence && this.promote(id), 600);
                }
            }, this.platformDelayMs ?? 0));
        });
        const { ports } = this.deployment;
        await new Promise(resolve => this.platform.listen(ports.platform, this.deployment.host(2), resolve));
    }

    /** The named database leads the next term with what it has received, and nothing more. */
    promote(id) {
        const chosen = this.databases.find(database => database.id === id && database.running);
        if (chosen === undefined || chosen.role === "primary") {
            return;
        }
        const term = Math.max(...this.databases.map(database => database.term)) + 1;
        const kept = new Set(chosen.log);
        const rolledBack = new Set(this.databases.flatMap(({ log }) => log.filter(entry => !kept.has(entry))));
        rolledBack.forEach(({ writes }) => writes.forEach(write => this.rolledBack.set(write, { id, term })));
        Object.assign(chosen, { role: "primary", term, ledTerm: term });
        for (const database of this.databases) {
            database.pausedTerm = 0;
            if (database !== chosen) {
                database.role = "replica";
                database.log = database.log.filter(entry => kept.has(entry));
                database.catchUp();
            }
        }
        this.promotionCount = (this.promotionCount ?? 0) + 1;
        this.record(`${id} leads term ${term} from position ${chosen.position}; ${rolledBack.size} commits are rolled back`);
        this.databases.filter(({ running }) => running).forEach(database => void database.beat());
    }

    /** Writes that clients saw acknowledged and that a promotion has rolled back. */
    lostWrites() {
        return this.operations.filter(({ result, writeId }) => result === "served" && this.rolledBack.has(writeId)).map(({ writeId }) => writeId);
    }

    /** A database crashes and comes back at its address after a while, under a new id and with its log. */
    async crash(database, forMs) {
        const number = this.databases.filter(({ place }) => place === database.place).length;
        database.stop();
        this.record(`${database.id} crashes`);
        await delay(forMs);
        const { place, host, port, zone, service: name, controls, record } = database;
        const wasPrimary = database.role === "primary";
        const next = new Database({
            id: `${database.id}-${number}`, place, host, port, zone, service: name, controls, record, peers: [],
            role: wasPrimary ? "primary" : "replica",
        });
        Object.assign(next, { log: database.log, term: database.term, ledTerm: database.ledTerm, peers: this.databases });
        this.databases.splice(this.databases.indexOf(database), 1, next);
        await next.start();
        this.databases.forEach(other => other.catchUp());
        this.record(`${next.id} is back as ${next.role}`);
        return next;
    }
}

function postWithoutRedirect(url) {
    return new Promise(resolve => {
        import("node:http").then(({ get }) => {
            const call = get(url, { agent: false, timeout: 1000 }, response => {
                response.resume();
                resolve(response.statusCode);
            });
            call.on("timeout", () => call.destroy());
            call.on("error", () => resolve(0));
        });
    });
}
