/** Notices changes of a settings file; the platform may change it without a signal. */
import { readFileSync } from "node:fs";

/** The file system has no notifications on the users' platform. */
const pollIntervalMs = 2_000;

export class SettingsWatcher implements Disposable {
    private readonly path: string;
    private contents: string;
    private timer: NodeJS.Timeout | undefined;

    /** Create the watcher before the settings are read for the first time, so that no change is missed. */
    constructor(path: string) {
        this.path = path;
        this.contents = this.read();
    }

    /** @param onChange called after each change of the contents, also when the file has become unreadable */
    start(onChange: () => void): void {
        this.timer = setInterval(() => {
            const contents = this.read();
            if (contents !== this.contents) {
                this.contents = contents;
                onChange();
            }
        }, pollIntervalMs);
    }

    [Symbol.dispose](): void {
        clearInterval(this.timer);
    }

    /** Contents of the file, or the reason why it cannot be read, which the reader of the settings reports. */
    private read(): string {
        try {
            return readFileSync(this.path, "utf8");
        }
        catch (error) {
            return (error as Error).message;
        }
    }
}
