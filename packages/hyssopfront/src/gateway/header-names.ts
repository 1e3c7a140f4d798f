/**
 * Headers by which callers, the gateway and backend servers tell each other about a request. The deployment names them.
 */
export type HeaderNames = {
    /** Id of one request of a caller, passed on and returned unchanged. */
    readonly requestId: string;
    /** Milliseconds for which the sender waits. */
    readonly deadline: string;
    /** Cookie that names the object of a request. */
    readonly affinityCookie: string;
    /** Proves that an answer comes from a backend server. */
    readonly responseSignature: string;
    /** Id of the backend server that alone may run the request. */
    readonly expectedBackendServer: string;
    /** In an answer: the request was not run. */
    readonly notExecuted: string;
    /** In an answer: running requests, waiting requests and slots, separated by commas. */
    readonly load: string;
    /** Seconds after which a caller should come back. */
    readonly retryAfter: string;
};
