/**
 * Reads what has arrived on connections before something is decided from a timer or a signal, which Node handles first.
 */
const nextTurn = () => new Promise<void>(resolve => void setImmediate(resolve));

/**
 * Lets pending data of connections be read, so that a caller that has disconnected meanwhile is detected: its last data is
 * read in one turn of the event loop, the end of its connection in the next.
 */
export async function readPendingData(): Promise<void> {
    await nextTurn();
    await nextTurn();
}
