// A stand-in for the databases of one service: a primary and its replicas, which speak the wire protocol and send
// heartbeats. They run in the process of the script, and every database has its own address.
import { request } from "node:http";
import { createServer } from "node:net";

const heartbeatIntervalMs = 1200;
const workMs = 4;

/** One-way delays between the databases: the first two are in one region, in different zones; the third in another one. */
const delaysMs = [[0, 3.9, 12], [3.9, 0, 12], [12, 12, 0]];

export class Database {
    constructor({ id, place, service, host, port, zone, role, peers, controls, record }) {
        Object.assign(this, { id, place, service, host, port, zone, role, peers, controls, record });
        this.running = false;
        /** The last term that this database led; 0 if none. */
        this.ledTerm = role === "primary" ? 1 : 0;
        this.log = [];
        this.term = 1;
        this.pausedTerm = 0;
        this.state = "ready";
        this.seq = 0;
        this.born = Date.now();
        this.sockets = new Set();
        this.signatures = 0;
        this.nextControl = 0;
        peers.push(this);
    }

    async start() {
        this.running = true;
        this.server = createServer(socket => this.accept(socket));
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.port, this.host, resolve);
        });
        this.beatTimer = setInterval(() => void this.beat(), heartbeatIntervalMs);
        void this.beat();
    }

    stop() {
        this.running = false;
        clearInterval(this.beatTimer);
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    /** Sends one heartbeat; after a failure, the next control member is called. */
    async beat() {
        this.seq += 1;
        const body = JSON.stringify({
            service: this.service,
            address: `${this.host}:${this.port}`,
            zone: this.zone,
            version: "v1",
            slots: 5,
            state: this.state,
            cold_left_ms: 0,
            db_role: this.role,
            seq: this.seq,
            born: this.born,
        });
        for (let attempt = 0; attempt < this.controls.length; attempt++) {
            const address = this.controls[this.nextControl % this.controls.length];
            const status = await post(`http://${address}/-/Instances.Heartbeat/${this.id}`, body);
            if (status === 200) {
                if (this.state === "draining" && this.drainAckedMs === undefined) {
                    this.drainAckedMs = Date.now();
                    this.record(`${this.id} is draining: acknowledged by ${address}`);
                }
                return;
            }
            this.nextControl += 1;
        }
    }

    /** Reports a planned shutdown, serves for some time after the acknowledgement, and leaves. */
    async drain(forMs) {
        this.state = "draining";
        await this.beat();
        await delay(forMs);
        await post(`http://${this.controls[0]}/-/Instances.Leave/${this.id}`, "");
        this.stop();
        this.record(`${this.id} has left`);
    }

    get position() {
        const last = this.log.at(-1);
        return last === undefined ? `${this.term}.0` : `${last.term}.${last.number}`;
    }

    accept(socket) {
        this.sockets.add(socket);
        const session = { socket, text: "", opened: false, state: "I", plain: false, writes: [], names: new Map(), queue: [], busy: false };
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", chunk => {
            session.text += chunk.toString("latin1");
            const lines = session.text.split("\r\n");
            session.text = lines.pop();
            session.queue.push(...lines);
            void this.drainQueue(session);
        });
    }

    async drainQueue(session) {
        if (session.busy) {
            return;
        }
        session.busy = true;
        while (session.queue.length > 0 && !session.socket.destroyed) {
            const line = session.queue.shift();
            if (!session.opened) {
                this.connect(session, line);
            }
            else if (line === "QUIT") {
                session.socket.end();
            }
            else {
                await this.query(session, line);
            }
        }
        session.busy = false;
    }

    connect(session, line) {
        const [word, service, , id] = line.split(" ");
        if (word !== "CONNECT" || service !== this.service || id !== undefined && id !== this.id) {
            session.socket.end(`ERROR MISROUTED ${this.id}\r\n`);
            return;
        }
        session.opened = true;
        session.socket.write(`READY I ${this.position}\r\n`, "latin1");
    }

    async query(session, line) {
        const [, id, ...words] = line.split(" ");
        if (id !== "-") {
            this.lastArrivalMs = Date.now();
            this.arrivals = (this.arrivals ?? 0) + 1;
            if (this.drainAckedMs !== undefined && this.lastArrivalMs > this.drainAckedMs + 7_000) {
                this.lateArrivals = (this.lateArrivals ?? 0) + 1;
                this.record(`${id} reaches ${this.id} ${this.lastArrivalMs - this.drainAckedMs} ms after the acknowledgement`);
            }
        }
        const after = words[0] === "AFTER" ? words.splice(0, 2)[1] : undefined;
        const answer = await this.run(session, id, words, after);
        if (!session.socket.destroyed) {
            session.socket.write(`${answer}\r\nREADY ${session.state} ${this.position}\r\n`, "latin1");
        }
    }

    async run(session, id, words, after) {
        const [verb, ...rest] = words;
        if (session.state === "E" && verb !== "ROLLBACK" && verb !== "COMMIT") {
            return `ERROR MALFORMED ${this.id}`;
        }
        if (after !== undefined && !this.has(after)) {
            return `ERROR LAGGING ${this.id}`;
        }
        const lostLead = session.plain && session.state === "T" && this.role !== "primary";
        switch (verb) {
            case "SET":
            case "RESET":
            case "DEALLOC":
                return "COMPLETE -";
            case "PREPARE":
                session.names.set(rest[0], rest[1]);
                return "COMPLETE -";
            case "BEGIN":
                if (rest[0] !== "READ" && this.role !== "primary") {
                    session.state = "E";
                    return `ERROR READONLY ${this.id}`;
                }
                Object.assign(session, { state: "T", plain: rest[0] !== "READ", writes: [] });
                return "COMPLETE -";
            case "ROLLBACK":
                Object.assign(session, { state: "I", writes: [] });
                return "COMPLETE -";
            case "COMMIT": {
                const writes = session.writes;
                Object.assign(session, { state: "I", writes: [] });
                return writes.length === 0 ? this.signed() : lostLead ? `ERROR READONLY ${this.id}` : this.commit(id, writes);
            }
            case "STATUS":
            case "PAUSE":
            case "RESUME":
            case "STEPDOWN":
                return this.order(verb, Number(rest[0]));
            default:
                return this.statement(session, id, verb, rest, lostLead);
        }
    }

    async statement(session, id, verb, rest, lostLead) {
        const isWrite = verb === "WRITE" || verb === "EXECUTE" && session.names.get(rest[0]) === "WRITE";
        if (lostLead || isWrite && this.role !== "primary") {
            session.state = session.state === "T" ? "E" : "I";
            return `ERROR READONLY ${this.id}`;
        }
        this.record(`${this.id} runs ${id} ${verb}`);
        await delay(workMs);
        if (!isWrite) {
            return `ROW value\r\n${this.signed()}`;
        }
        if (session.state === "T") {
            session.writes.push(id);
            return this.signed();
        }
        return this.commit(id, [id]);
    }

    /** Appends a commit and waits until one replica has received it. */
    commit(id, writes) {
        if (this.role !== "primary") {
            return Promise.resolve(`ERROR READONLY ${this.id}`);
        }
        const entry = { term: this.term, number: (this.log.at(-1)?.number ?? 0) + 1, writes };
        this.log.push(entry);
        return new Promise(resolve => {
            for (const replica of this.peers.filter(other => other !== this)) {
                const delayMs = delaysMs[this.place][replica.place];
                setTimeout(() => {
                    if (replica.receive(this, entry)) {
                        const acknowledge = () => resolve(this.role === "primary" ? this.signed() : `ERROR INDOUBT ${this.id}`);
                        setTimeout(acknowledge, delayMs);
                    }
                }, delayMs);
            }
        });
    }

    /**
     * Receives a log up to an entry from the database that led last. That one sends on after it has stepped down, until
     * another one leads. Returns whether this replica has the entry then.
     */
    receive(source, entry) {
        const index = source.log.indexOf(entry);
        const isNewest = source.ledTerm === Math.max(...this.peers.map(({ ledTerm }) => ledTerm));
        if (!this.running || this.isDeaf || this.role !== "replica" || this.pausedTerm > 0 || !isNewest || index === -1) {
            return false;
        }
        if (this.log.length <= index) {
            this.log = source.log.slice(0, index + 1);
        }
        this.term = Math.max(this.term, source.ledTerm);
        return true;
    }

    /** Asks the database that led last for what this replica lacks. */
    catchUp() {
        const newestTerm = Math.max(...this.peers.map(({ ledTerm }) => ledTerm));
        const source = this.peers.find(({ ledTerm }) => ledTerm === newestTerm);
        const last = source?.log.at(-1);
        if (!this.isDeaf && source !== undefined && source !== this && source.running && last !== undefined) {
            setTimeout(() => this.receive(source, last), 2 * delaysMs[this.place][source.place]);
        }
    }

    order(verb, term) {
        const newest = Math.max(...this.peers.map(other => other.term));
        if (verb === "PAUSE" && this.role === "replica" && term > newest) {
            this.pausedTerm = term;
        }
        if (verb === "RESUME") {
            this.pausedTerm = 0;
            this.catchUp();
        }
        if (verb === "STEPDOWN" && this.role === "primary" && this.term < term) {
            this.role = "replica";
            void this.beat();
        }
        return `ROW ${this.role} ${this.term} ${this.position} ${this.pausedTerm} 1 0 ${this.sockets.size}\r\nCOMPLETE -`;
    }

    has(position) {
        const [term, number] = position.split(".").map(Number);
        const [ownTerm, ownNumber] = this.position.split(".").map(Number);
        return ownTerm > term || ownTerm === term && ownNumber >= number;
    }

    signed() {
        this.signatures += 1;
        return `COMPLETE ${this.id}.${this.signatures}`;
    }
}

export function delay(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Resolves with the status of the answer, or 0 when there is none within a second. */
export function post(url, body, method = "POST") {
    return new Promise(resolve => {
        const call = request(url, { method, agent: false, timeout: 1000, headers: { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) } }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => {
                if (response.statusCode === 307) {
                    resolve(post(response.headers.location, body, method));
                }
                else {
                    resolve(response.statusCode);
                }
            });
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(0));
        call.end(body);
    });
}
