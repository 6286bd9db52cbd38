/** Starts the threads of the stand-ins, which do not keep the process alive. */
final class Threads {

    private Threads() {}

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends this process, and with it the gateways, as one that could not run its case. */
    static void endAfter(int seconds) {
        start("time limit", () -> {
            try {
                Thread.sleep(1000L * seconds);
            } catch (InterruptedException exception) {
                return;
            }
            System.err.println("the case took more than " + seconds + " seconds");
            System.exit(2);
        });
    }
}
