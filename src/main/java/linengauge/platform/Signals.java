package linengauge.platform;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Handlers for the signals of the process. The virtual machine exits on SIGHUP unless a handler is
 * registered. The class for that is not part of the Java platform's API, and the compiler warns
 * about its use, so it is called by reflection.
 */
final class Signals {
  private Signals() {}

  /**
   * Runs the action each time the signal arrives, on a thread of the virtual machine. Returns false
   * if this is not supported.
   */
  static boolean register(String name, Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> {
                switch (method.getName()) {
                  case "handle" -> action.run();
                  case "hashCode" -> {
                    return System.identityHashCode(proxy);
                  }
                  case "equals" -> {
                    return proxy == arguments[0];
                  }
                  case "toString" -> {
                    return "handler of " + name;
                  }
                  default -> {}
                }
                return null;
              });
      signalType
          .getMethod("handle", signalType, handlerType)
          .invoke(null, signalType.getConstructor(String.class).newInstance(name), handler);
      return true;
    } catch (ClassNotFoundException
        | NoSuchMethodException
        | IllegalAccessException
        | InstantiationException
        | InvocationTargetException e) {
      return false;
    }
  }
}
